/** Events of an entry on the users' platform, numbered from 10000. */

import type { LogEventDefinition } from "./definition.ts";

export const INGRESS_EVENTS = {
  ingressStarted: {
    id: 10000,
    level: "info",
    text: "Entry {name} listens on {address}, readiness probe on {readiness}",
    help: "None needed",
  },
  settingsReloaded: {
    id: 10001,
    level: "info",
    text: "Settings file reloaded: {outcome}",
    help:
      "If the settings are invalid, the previous ones stay in force; correct the file",
  },
  configurationApplied: {
    id: 10002,
    level: "info",
    text:
      "Configuration version {version} applied at revision {revision}: {routes} routes",
    help: "None needed",
  },
  configurationRefused: {
    id: 10003,
    level: "error",
    text: "Configuration at revision {revision} was rejected: {reason}",
    help:
      "The previous configuration stays in force, and requests with API keys are refused once it was last confirmed too long ago; write a valid one",
  },
  targetsChanged: {
    id: 10004,
    level: "info",
    text: "Targets of {service}: {open} open, {closed} draining ({change})",
    help: "None needed",
  },
  storeLost: {
    id: 10005,
    level: "warn",
    text: "The store does not answer requests for {kind}: {reason}",
    help:
      "Requests continue; those with API keys are refused once the configuration was last confirmed too long ago",
  },
  storeRegained: {
    id: 10006,
    level: "info",
    text: "The store answers requests for {kind} again after {lostMs} ms",
    help: "None needed",
  },
  storeRestored: {
    id: 10007,
    level: "warn",
    text:
      "The store came back from an older copy: era {era} after {previousEra}; {kind} was listed again",
    help:
      "What was in force stays; requests with API keys may be refused until the operator has written the configuration again",
  },
  entryHeard: {
    id: 10008,
    level: "info",
    text:
      "Entry {entry} is reachable at {peerAddress}, accepts callers: {takes}",
    help: "None needed",
  },
  entryLost: {
    id: 10009,
    level: "warn",
    text: "Entry {entry} has not responded for {silentMs} ms",
    help: "Callers are not directed to it; check its VM if this lasts",
  },
  entryRegistered: {
    id: 10010,
    level: "info",
    text: "Registered as {entry}; {others} other entries are known",
    help: "None needed",
  },
  requestRouted: {
    id: 10020,
    level: "debug",
    text:
      "Request {requestId} is routed to {service} by route {route} of configuration {version}, confirmed {proofAgeMs} ms ago",
    help: "None needed",
  },
  requestDenied: {
    id: 10021,
    level: "info",
    text:
      "Request {requestId} was denied with status {status}: {reason}; configuration {version} was confirmed {proofAgeMs} ms ago",
    help:
      "Check the route, the API key and the time since the configuration was confirmed",
  },
  bodyRefused: {
    id: 10040,
    level: "info",
    text:
      "Request {requestId} was refused with {receivedBytes} of {sizeBytes} bytes of its body received after {elapsedMs} ms: {reason}; bodies hold {heldBytes} of {budgetBytes} bytes, {waiting} wait; the caller may return in {retryAfterMs} ms",
    help:
      "full: more is uploaded than fits into memory; add entries or memory. stalled: the caller has stopped sending. late: the route's timeout has passed",
  },
  streamAdmitted: {
    id: 10022,
    level: "debug",
    text:
      "Stream {requestId} was admitted after {waitedMs} ms; active: {active} here and {others} on other entries, capacity {capacity}",
    help: "None needed",
  },
  streamRefused: {
    id: 10023,
    level: "info",
    text:
      "Stream {requestId} was refused, predicted wait {predictedWaitMs} ms; active: {active} here and {others} on other entries, capacity {capacity}",
    help:
      "The group is at capacity; add engines or balance the expert map better",
  },
  attemptSent: {
    id: 10024,
    level: "debug",
    text:
      "Attempt {attempt} of request {requestId} is sent to {target} with {leftMs} ms remaining",
    help: "None needed",
  },
  answerContinued: {
    id: 10043,
    level: "info",
    text:
      "Attempt {attempt} asks {target} to continue the answer to request {requestId} after event {lastEventId}, with status {status}",
    help: "None needed; the attempt before has failed",
  },
  attemptFailed: {
    id: 10025,
    level: "info",
    text:
      "Attempt {attempt} of request {requestId} at {target} ended with result {result} after {elapsedMs} ms: {reason}; next: {next}",
    help: "Check the target's own logs for that time",
  },
  requestRefusedCrashing: {
    id: 10027,
    level: "info",
    text:
      "Request {requestId} with fingerprint {fingerprint} is refused for {retryAfterMs} ms: targets crashed while running it",
    help: "Check what the caller sends and the targets' own logs",
  },
  requestAnswered: {
    id: 10026,
    level: "info",
    text:
      "Request {requestId} ended with outcome {outcome} and status {status} after {elapsedMs} ms, first byte after {firstMs} ms, {attempts} attempts, the last at {target}; end of the answer marked by {framing}, {unfinishedBytes} bytes of an incomplete event",
    help: "None needed",
  },
  targetLimited: {
    id: 10028,
    level: "info",
    text:
      "Target {target} takes {perSecond} requests a second from all {entries} entries, {share} of them from this one",
    help:
      "The target is overloaded; its other requests go to other targets. Add targets if many are limited",
  },
  targetLimitEnded: {
    id: 10029,
    level: "info",
    text: "Target {target} has no limit any more",
    help: "None needed",
  },
  targetLeaving: {
    id: 10031,
    level: "info",
    text: "Target {target} leaves and gets no new work, says {source}",
    help: "Planned work on the target; its running requests go on",
  },
  targetNotBefore: {
    id: 10032,
    level: "info",
    text: "Target {target} wants no request of this entry for {forMs} ms",
    help: "The target is overloaded; requests go to other targets meanwhile",
  },
  targetNoticeRejected: {
    id: 10033,
    level: "warn",
    text:
      "Target {target} announced {value} as the time after which to return, which is no time of up to 10 minutes",
    help: "Check the target's program and its clock",
  },
  storeEraInvalid: {
    id: 10034,
    level: "warn",
    text:
      'An answer of the store names the era "{era}", which is no number of at least 0; the last known era stays',
    help: "Check what answers at the store's address",
  },
  targetDown: {
    id: 10035,
    level: "warn",
    text:
      "Target {target} is down ({sign}); answers to {lostRequests} requests of this entry were lost with it",
    help:
      "Check the target's own logs; if several follow, look for events 7003 and 10036",
  },
  targetStartedAnew: {
    id: 10039,
    level: "info",
    text:
      "Target {target} has started again under its id: {run} after {previousRun}; nothing known of the earlier run counts",
    help: "Check the target's own logs if it was not stopped on purpose",
  },
  promptPartQuarantined: {
    id: 10036,
    level: "warn",
    text:
      "Requests with prompt part {part} are refused for {quarantineMs} ms: each of the targets {targets} crashed while running some of {requests} such requests",
    help: "Check what callers send in that part; see docs/OPERATIONS.md",
  },
  promptPartQuarantineAdopted: {
    id: 10037,
    level: "warn",
    text:
      "Requests with prompt part {part} are refused for {remainingMs} ms, as found by {source}",
    help: "See event 10036 of the entry that found it",
  },
  requestRefusedPromptPart: {
    id: 10038,
    level: "info",
    text:
      "Request {requestId} with prompt part {part} is refused for {retryAfterMs} ms: targets crashed while running such requests",
    help: "Check what callers send in that part",
  },
  configurationIncomplete: {
    id: 10044,
    level: "error",
    text:
      "Configuration version {version} at revision {revision} was applied without parts that cannot be read: {problems}",
    help:
      "Requests of such routes, and those with keys that may be among these parts, get 503; correct the fields named",
  },
  registrationRefused: {
    id: 10042,
    level: "warn",
    text:
      "Registration {target} at revision {revision} names no target: {reason}",
    help:
      "Check who wrote it; it is logged once, and no more than 256 at a time are",
  },
  linesDropped: {
    id: 10030,
    level: "warn",
    text: "{dropped} log lines were dropped",
    help: "The consumer of standard output is slower than the log",
  },
} as const satisfies Record<string, LogEventDefinition>;
