/** What an entry of the soak `requests` sends to agents and other entries. */

import { formatTicket, type RequestKey } from "@dandelionbank/read-ticket";
import { findHome } from "@dandelionbank/take-over-keys";
import type { TrackEffect, TrackEvent } from "@dandelionbank/track-requests";
import type { AttemptHead } from "@dandelionbank/types";
import type { EntrySuspects } from "./entry_suspects.ts";
import type { EntryView } from "./entry_view.ts";
import type { Message } from "./messages.ts";
import type { Operation, World } from "./world.ts";

/** How soon a pending takeover is looked at again. */
const PENDING_MS = 25;
/** Share of choices of a target that find the pool overloaded. */
const OVERLOADED = 0.03;

export interface KnownRequest {
  readonly operation: Operation;
  readonly key: RequestKey | undefined;
}

/** The entry on whose behalf things are sent. */
export interface SendingEntry {
  readonly name: string;
  readonly incarnation: string;
  readonly requests: ReadonlyMap<string, KnownRequest>;
  readonly view: EntryView;
  readonly suspects: EntrySuspects;
  readonly feed: (event: TrackEvent) => void;
}

export class EntrySender {
  readonly #world: World;
  readonly #entry: SendingEntry;
  /** Keys that this life of the entry has dispatched itself. */
  readonly #dispatchedKeys = new Set<string>();
  /** Where each open attempt was sent. */
  readonly #attempts = new Map<string, string>();

  constructor(world: World, entry: SendingEntry) {
    this.#world = world;
    this.#entry = entry;
  }

  /** Some of the connections to a node break, others go silent. */
  breakConnections(peer: string): void {
    for (const [attemptId, to] of this.#attempts) {
      if (to !== peer || this.#world.random.chance(0.3)) continue;
      this.#entry.feed({ type: "connectionLost", attemptId });
    }
  }

  askAbout(effect: Extract<TrackEffect, { type: "queryAttempt" }>): void {
    const { type: _, target, ...ask } = effect;
    this.#attempts.set(ask.attemptId, target);
    this.#post(target, { type: "ask", ...ask });
  }

  findHome(requestId: string): void {
    const { operation, key } = this.#entry.requests.get(requestId) ?? {};
    if (operation?.key === undefined || key === undefined) return;
    const { ticket } = key;
    const home = findHome(this.#entry.view.takeOver, {
      keyId: operation.key,
      pool: operation.pool,
      ticket,
    });
    if (home.kind === "lost") this.#entry.view.suspect(ticket.incarnation);
    if (home.kind === "pending") {
      const run = () => this.findHome(requestId);
      this.#world.queue.startTimer(this.#entry.name, {
        delayMs: PENDING_MS,
        run,
      });
      return;
    }
    const trusted = !this.#world.store.closings.has(this.#entry.incarnation) &&
      !this.#dispatchedKeys.has(operation.key);
    if (home.kind === "free" && trusted) {
      const executions = this.#world.executionsOfKey(operation.key);
      this.#world.check("freeKeyNeverRan", {
        holds: executions === 0 || operation.idempotent,
        detail: `${operation.key} at ${this.#entry.incarnation}`,
      });
    }
    this.#world.outcome(`home ${home.kind}`);
    this.#entry.feed({ type: "homeFound", requestId, home });
  }

  pickTarget(effect: Extract<TrackEffect, { type: "pickTarget" }>): void {
    const { requestId, pool, avoid, fingerprint } = effect;
    const verdict = this.#entry.suspects.judge(fingerprint);
    const refused = verdict.kind === "quarantined" ||
      (verdict.kind === "suspect" && effect.hedge);
    if (refused) {
      const retryAfterMs = verdict.kind === "quarantined"
        ? verdict.retryAfterMs
        : 0;
      const code = "quarantined";
      return this.#entry.feed({
        type: "noTarget",
        requestId,
        code,
        retryAfterMs,
      });
    }
    const lost = verdict.kind === "suspect" ? verdict.avoid : [];
    const agents = this.#entry.view.listAgents(pool)
      .filter(({ target }) => !avoid.includes(target))
      .filter(({ target }) => !lost.includes(target));
    const overloaded = this.#world.plan.targetsFail &&
      this.#world.random.chance(OVERLOADED);
    if (overloaded) this.#world.fault("poolOverloaded");
    if (agents.length === 0 || overloaded) {
      const code = overloaded ? "overloaded" : "noTarget";
      return this.#entry.feed({
        type: "noTarget",
        requestId,
        code,
        retryAfterMs: 50,
      });
    }
    const { target, incarnation } = this.#world.random.pick(agents);
    this.#entry.feed({
      type: "targetPicked",
      requestId,
      target,
      agentIncarnation: incarnation,
    });
  }

  dispatch(effect: Extract<TrackEffect, { type: "dispatch" }>): void {
    const { requestId, attemptId, target, agentIncarnation } = effect;
    const { operation, key } = this.#entry.requests.get(requestId) ?? {};
    if (operation === undefined) {
      return this.#world.violate("dispatchHasRequest", attemptId);
    }
    const refused = !this.#world.queue.isRunning(target);
    if (refused && this.#world.random.chance(0.5)) {
      return this.#entry.feed({ type: "dispatchFailed", attemptId });
    }
    this.#attempts.set(attemptId, target);
    const { fingerprint } = operation;
    const suspect = this.#entry.suspects.noteAttempt(attemptId, fingerprint);
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
      entry: this.#entry.name,
      entryIncarnation: this.#entry.incarnation,
      idempotent: operation.idempotent,
      method: "POST",
      path: "/",
      contentType: "text/plain",
      priority: 0,
      timeLeftMs: effect.timeLeftMs,
      viewRevision: this.#entry.view.revision,
    };
  }

  passToHome(effect: Extract<TrackEffect, { type: "relayToHome" }>): void {
    const { requestId, attemptId, incarnation, supersedes } = effect;
    const { operation, key } = this.#entry.requests.get(requestId) ?? {};
    const home = this.#entry.view.nameOf(incarnation);
    if (operation === undefined || home === undefined) {
      return this.#entry.feed({ type: "dispatchFailed", attemptId });
    }
    this.#attempts.set(attemptId, home);
    const number = Number(attemptId.slice(attemptId.lastIndexOf(".") + 1));
    this.#post(home, {
      type: "pass",
      incarnation,
      callerId: attemptId,
      operationId: operation.id,
      key,
      timeLeftMs: effect.timeLeftMs,
      relay: { entryIncarnation: this.#entry.incarnation, number, supersedes },
    });
  }

  cancel(attemptId: string): void {
    const to = this.#attempts.get(attemptId);
    this.#attempts.delete(attemptId);
    if (to !== undefined) this.#post(to, { type: "cancel", attemptId });
  }

  #post(to: string, message: Message): void {
    this.#world.queue.post({ from: this.#entry.name, to }, message);
  }
}

function formatKey(key: RequestKey): string {
  return `${formatTicket(key.ticket, key.signature)}/${key.suffix}`;
}
