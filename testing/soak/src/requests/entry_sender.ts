/** Sends attempts, queries and relayed requests for an entry of the soak `requests`. */

import { formatTicket, type RequestKey } from "@dandelionbank/read-ticket";
import { findHome } from "@dandelionbank/take-over-keys";
import type { TrackEffect, TrackEvent } from "@dandelionbank/track-requests";
import type { AttemptHead } from "@dandelionbank/types";
import type { EntrySuspects } from "./entry_suspects.ts";
import type { EntryView } from "./entry_view.ts";
import type { Message } from "./messages.ts";
import type { Operation, World } from "./world.ts";

/** Delay before the home of a key is looked up again during a takeover. */
const PENDING_TAKEOVER_RETRY_MS = 25;
/** Probability that the pool is reported as overloaded when a target is picked. */
const OVERLOAD_PROBABILITY = 0.03;

export interface KnownRequest {
  readonly operation: Operation;
  readonly key: RequestKey | undefined;
}

/** State and callbacks of the entry that owns the sender. */
export interface EntrySenderOptions {
  readonly name: string;
  readonly incarnation: string;
  readonly requests: ReadonlyMap<string, KnownRequest>;
  readonly view: EntryView;
  readonly suspects: EntrySuspects;
  readonly handleEvent: (event: TrackEvent) => void;
}

export class EntrySender {
  readonly #world: World;
  readonly #options: EntrySenderOptions;
  /** Keys that this incarnation of the entry has dispatched itself. */
  readonly #dispatchedKeys = new Set<string>();
  /** The node that each open attempt was sent to. */
  readonly #peerByAttempt = new Map<string, string>();

  constructor(world: World, options: EntrySenderOptions) {
    this.#world = world;
    this.#options = options;
  }

  /** Reports most of the connections to a node as lost; the others stay open without data. */
  breakConnections(peer: string): void {
    for (const [attemptId, to] of this.#peerByAttempt) {
      if (to !== peer || this.#world.random.chance(0.3)) continue;
      this.#options.handleEvent({ type: "connectionLost", attemptId });
    }
  }

  queryAttempt(effect: Extract<TrackEffect, { type: "queryAttempt" }>): void {
    const { type: _, target, ...query } = effect;
    this.#peerByAttempt.set(query.attemptId, target);
    this.#post(target, { type: "query", ...query });
  }

  resolveHome(requestId: string): void {
    const { operation, key } = this.#options.requests.get(requestId) ?? {};
    if (operation?.key === undefined || key === undefined) return;
    const { ticket } = key;
    const home = findHome(this.#options.view.takeOverState, {
      keyId: operation.key,
      pool: operation.pool,
      ticket,
    });
    if (home.kind === "lost") {
      this.#options.view.markSuspect(ticket.incarnation);
    }
    if (home.kind === "pending") {
      const run = () => this.resolveHome(requestId);
      this.#world.queue.startTimer(this.#options.name, {
        delayMs: PENDING_TAKEOVER_RETRY_MS,
        run,
      });
      return;
    }
    // A free key can have run only if this incarnation dispatched it itself, or
    // is closed, so that its successor may have dispatched it.
    const mustNotHaveRun =
      !this.#world.store.closings.has(this.#options.incarnation) &&
      !this.#dispatchedKeys.has(operation.key);
    if (home.kind === "free" && mustNotHaveRun) {
      const executions = this.#world.countExecutionsOfKey(operation.key);
      this.#world.checkInvariant("freeKeyNeverRan", {
        holds: executions === 0 || operation.idempotent,
        detail: `${operation.key} at ${this.#options.incarnation}`,
      });
    }
    this.#world.countOutcome(`home ${home.kind}`);
    this.#options.handleEvent({ type: "homeFound", requestId, home });
  }

  pickTarget(effect: Extract<TrackEffect, { type: "pickTarget" }>): void {
    const { requestId, pool, avoid, fingerprint } = effect;
    const verdict = this.#options.suspects.evaluate(fingerprint);
    const isRefused = verdict.kind === "quarantined" ||
      (verdict.kind === "suspect" && effect.hedge);
    if (isRefused) {
      const retryAfterMs = verdict.kind === "quarantined"
        ? verdict.retryAfterMs
        : 0;
      const code = "quarantined";
      return this.#options.handleEvent({
        type: "noTarget",
        requestId,
        code,
        retryAfterMs,
      });
    }
    const lossTargets = verdict.kind === "suspect" ? verdict.avoid : [];
    const agents = this.#options.view.listAgents(pool)
      .filter(({ target }) => !avoid.includes(target))
      .filter(({ target }) => !lossTargets.includes(target));
    const isOverloaded = this.#world.plan.targetsFail &&
      this.#world.random.chance(OVERLOAD_PROBABILITY);
    if (isOverloaded) this.#world.countFault("poolOverloaded");
    if (agents.length === 0 || isOverloaded) {
      const code = isOverloaded ? "overloaded" : "noTarget";
      return this.#options.handleEvent({
        type: "noTarget",
        requestId,
        code,
        retryAfterMs: 50,
      });
    }
    const { target, incarnation } = this.#world.random.pick(agents);
    this.#options.handleEvent({
      type: "targetPicked",
      requestId,
      target,
      agentIncarnation: incarnation,
    });
  }

  dispatch(effect: Extract<TrackEffect, { type: "dispatch" }>): void {
    const { requestId, attemptId, target, agentIncarnation } = effect;
    const { operation, key } = this.#options.requests.get(requestId) ?? {};
    if (operation === undefined) {
      return this.#world.reportViolation("dispatchHasRequest", attemptId);
    }
    const isDown = !this.#world.queue.isRunning(target);
    if (isDown && this.#world.random.chance(0.5)) {
      return this.#options.handleEvent({ type: "dispatchFailed", attemptId });
    }
    this.#peerByAttempt.set(attemptId, target);
    const { fingerprint } = operation;
    const suspect = this.#options.suspects.registerAttempt(
      attemptId,
      fingerprint,
    );
    if (operation.key !== undefined) this.#dispatchedKeys.add(operation.key);
    const head = this.#createHead(effect, { operation, key });
    this.#post(target, {
      type: "attempt",
      operationId: operation.id,
      keyId: key && operation.key,
      agentIncarnation,
      suspect,
      head,
    });
  }

  #createHead(
    effect: Extract<TrackEffect, { type: "dispatch" }>,
    known: KnownRequest,
  ): AttemptHead {
    const { operation, key } = known;
    return {
      attemptId: effect.attemptId,
      requestId: effect.requestId,
      organisation: operation.organisation,
      ...(key === undefined ? {} : { key: formatKey(key) }),
      fingerprint: operation.fingerprint,
      entry: this.#options.name,
      entryIncarnation: this.#options.incarnation,
      idempotent: operation.idempotent,
      method: "POST",
      path: "/",
      contentType: "text/plain",
      priority: 0,
      timeLeftMs: effect.timeLeftMs,
      viewRevision: this.#options.view.revision,
    };
  }

  relayToHome(effect: Extract<TrackEffect, { type: "relayToHome" }>): void {
    const { requestId, attemptId, incarnation, supersedes } = effect;
    const { operation, key } = this.#options.requests.get(requestId) ?? {};
    const home = this.#options.view.findEntryName(incarnation);
    if (operation === undefined || home === undefined) {
      return this.#options.handleEvent({ type: "dispatchFailed", attemptId });
    }
    this.#peerByAttempt.set(attemptId, home);
    const attemptNumber = Number(
      attemptId.slice(attemptId.lastIndexOf(".") + 1),
    );
    this.#post(home, {
      type: "relay",
      incarnation,
      callerId: attemptId,
      operationId: operation.id,
      key,
      timeLeftMs: effect.timeLeftMs,
      relay: {
        entryIncarnation: this.#options.incarnation,
        number: attemptNumber,
        supersedes,
      },
    });
  }

  cancel(attemptId: string): void {
    const to = this.#peerByAttempt.get(attemptId);
    this.#peerByAttempt.delete(attemptId);
    if (to !== undefined) this.#post(to, { type: "cancel", attemptId });
  }

  #post(to: string, message: Message): void {
    this.#world.queue.post({ from: this.#options.name, to }, message);
  }
}

function formatKey(key: RequestKey): string {
  return `${formatTicket(key.ticket, key.signature)}/${key.suffix}`;
}
