/** Events of an entry on the users' platform, numbered from 10000. */

import type { LogEventDefinition } from "./definition.ts";

export const INGRESS_EVENTS = {
  ingressStarted: {
    id: 10000,
    level: "info",
    text: "Entry {name} listens on {address}, readiness on {readiness}",
    help: "None needed",
  },
  settingsReloaded: {
    id: 10001,
    level: "info",
    text: "Settings read again: {outcome}",
    help: "If they are wrong, the ones before stay in force; correct the file",
  },
  configurationApplied: {
    id: 10002,
    level: "info",
    text:
      "Configuration {version} at revision {revision} is in force, {routes} routes",
    help: "None needed",
  },
  configurationRefused: {
    id: 10003,
    level: "error",
    text: "Configuration at revision {revision} was not taken: {reason}",
    help: "The one before stays in force; write a correct one",
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
    text: "The store does not answer for {kind}: {reason}",
    help:
      "Requests go on; those with keys are refused once the proof of the configuration is too old",
  },
  storeRegained: {
    id: 10006,
    level: "info",
    text: "The store answers again for {kind} after {lostMs} ms",
    help: "None needed",
  },
  entryHeard: {
    id: 10008,
    level: "info",
    text: "Entry {entry} is heard at {peerAddress}, takes callers: {takes}",
    help: "None needed",
  },
  entryLost: {
    id: 10009,
    level: "warn",
    text: "Entry {entry} was not heard for {silentMs} ms",
    help: "Callers are not sent there; look at the VM if it lasts",
  },
  entryRegistered: {
    id: 10010,
    level: "info",
    text: "Registered as {entry}, {others} others known",
    help: "None needed",
  },
  requestRouted: {
    id: 10020,
    level: "debug",
    text:
      "Request {requestId} goes to {service} by route {route} of configuration {version}, proven {proofAgeMs} ms ago",
    help: "None needed",
  },
  requestDenied: {
    id: 10021,
    level: "info",
    text:
      "Request {requestId} was answered {status}: {reason}, configuration {version} proven {proofAgeMs} ms ago",
    help: "Look at the route, the key, and how old the proof is",
  },
  streamAdmitted: {
    id: 10022,
    level: "debug",
    text:
      "Stream {requestId} starts after {waitedMs} ms; {active} here and {others} elsewhere of {capacity}",
    help: "None needed",
  },
  streamRefused: {
    id: 10023,
    level: "info",
    text:
      "Stream {requestId} was refused: {predictedWaitMs} ms to wait; {active} here and {others} elsewhere of {capacity}",
    help: "The group is full; more engines or an evener expert map help",
  },
  attemptSent: {
    id: 10024,
    level: "debug",
    text:
      "Attempt {attempt} of request {requestId} goes to {target} with {leftMs} ms left",
    help: "None needed",
  },
  attemptFailed: {
    id: 10025,
    level: "info",
    text:
      "Attempt {attempt} of request {requestId} at {target} ended {result} after {elapsedMs} ms: {reason}; next: {next}",
    help: "Look at the target's own logs at that time",
  },
  requestRefusedCrashing: {
    id: 10027,
    level: "info",
    text:
      "Request {requestId} with fingerprint {fingerprint} is not sent for {retryAfterMs} ms: what ran it crashed",
    help: "Look at what the caller sends, and at the targets' own logs",
  },
  requestAnswered: {
    id: 10026,
    level: "info",
    text:
      "Request {requestId} ended {outcome} with {status} after {elapsedMs} ms, first byte at {firstMs} ms, {attempts} attempts, last at {target}",
    help: "None needed",
  },
  linesDropped: {
    id: 10030,
    level: "warn",
    text: "{dropped} log lines were dropped",
    help: "The reader of standard output is slower than the log",
  },
} as const satisfies Record<string, LogEventDefinition>;
