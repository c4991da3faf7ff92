/**
 * Sends attempts to agents and relays requests to their home entries, the entries
 * that own their idempotency keys. Every frame received and every lost connection
 * is posted to the request tracker (`track-requests`) as an event.
 */

import type { Logger } from "@dandelionbank/log-events";
import type { HttpConnector, RequestHandle } from "@dandelionbank/open-http";
import type { AttemptListener } from "@dandelionbank/send-attempts";
import type {
  Dispatch,
  QueryAttempt,
  RelayToHome,
  TrackEvent,
} from "@dandelionbank/track-requests";
import type {
  AttemptHead,
  AttemptQuery,
  PeerFrame,
} from "@dandelionbank/types";
import type { SuspectTask } from "@dandelionbank/watch-suspects";
import { type PeerAddress, PeerLinks } from "./peer_links.ts";
import type { Placer } from "./placer.ts";
import type { OpenRequest } from "./request_table.ts";

const NO_BODY = new Uint8Array(0);
/** Longer than an agent that has withdrawn refuses attempts before it closes. */
const WITHDRAWAL_MS = 1_000;

export interface AttemptSenderOptions {
  readonly entry: string;
  readonly incarnation: string;
  readonly peerSecret: string;
  readonly connector?: HttpConnector;
  readonly logger: Logger;
  readonly placer: Placer;
  readonly suspects: SuspectTask;
  readonly post: (event: TrackEvent) => void;
  /** Called when a request could not be relayed to this home entry. */
  readonly onHomeUnreachable: (incarnation: string) => void;
}

interface SentAttempt {
  readonly requestId: string;
  readonly organisation: string;
  readonly keyText: string | undefined;
  /** The target's name, or the home entry's incarnation for a relay. */
  readonly target: string;
  /** The request on the current connection, while it runs. */
  running: RequestHandle | undefined;
  /** Listener of the current connection; events of earlier ones are ignored. */
  listener: AttemptListener | undefined;
}

export class AttemptSender {
  readonly #options: AttemptSenderOptions;
  readonly #agents: PeerLinks;
  readonly #homes: PeerLinks;
  readonly #sent = new Map<string, SentAttempt>();
  readonly #attemptsByRequest = new Map<string, string[]>();
  readonly #withdrawals = new Set<NodeJS.Timeout>();

  private constructor(options: AttemptSenderOptions) {
    this.#options = options;
    this.#agents = PeerLinks.create(options);
    this.#homes = PeerLinks.create(options);
  }

  static create(options: AttemptSenderOptions): AttemptSender {
    return new AttemptSender(options);
  }

  replaceAgents(agents: readonly PeerAddress[]): void {
    for (const removed of this.#agents.replaceAll(agents)) {
      const isReplaced = this.#agents.incarnationOf(removed.name) !== undefined;
      if (isReplaced) this.#reportLost(removed);
      else this.#reportLostLater(removed);
    }
  }

  replaceEntries(entries: readonly PeerAddress[]): void {
    this.#homes.replaceAll(entries);
  }

  agentIncarnationOf(target: string): string | undefined {
    return this.#agents.incarnationOf(target);
  }

  /** Returns the target, or the home entry's incarnation, of the latest attempt. */
  latestTargetOf(requestId: string): string | undefined {
    const latestAttemptId = this.#attemptsByRequest.get(requestId)?.at(-1);
    return this.#sent.get(latestAttemptId ?? "")?.target;
  }

  /** Sends an attempt to the agent of its target. */
  dispatch(effect: Dispatch, openRequest: OpenRequest | undefined): void {
    const { attemptId, target, agentIncarnation, requestId } = effect;
    this.#options.placer.bindAttempt(requestId, attemptId);
    const connection = this.#agents.connectionTo(target, agentIncarnation);
    if (openRequest === undefined || connection === undefined) {
      this.#options.placer.recordLoss(attemptId);
      return this.#options.post({ type: "dispatchFailed", attemptId });
    }
    this.#register(attemptId, openRequest, target);
    const head = this.#createHead(openRequest, effect);
    const suspect = this.#options.suspects.registerAttempt(
      attemptId,
      openRequest.fingerprint,
    );
    const kind = "attempt" as const;
    const message = { kind, agentIncarnation, suspect, head };
    const sent = this.#sent.get(attemptId);
    if (sent === undefined) return;
    sent.running = connection.send(
      message,
      openRequest.body,
      this.#createListener(attemptId, { isDispatch: true }),
    );
  }

  /** Relays a request to its home entry; the relay counts as an attempt. */
  relayToHome(effect: RelayToHome, openRequest: OpenRequest | undefined): void {
    const { attemptId, incarnation } = effect;
    const connection = this.#homes.connectionTo(incarnation, incarnation);
    if (openRequest === undefined || connection === undefined) {
      this.#options.onHomeUnreachable(incarnation);
      return this.#options.post({ type: "dispatchFailed", attemptId });
    }
    this.#register(attemptId, openRequest, incarnation);
    const sent = this.#sent.get(attemptId);
    if (sent === undefined) return;
    sent.running = connection.send(
      {
        kind: "relay",
        homeIncarnation: incarnation,
        pool: openRequest.pool,
        resumable: openRequest.resumable,
        estimatedTokens: openRequest.estimatedTokens,
        supersedes: effect.supersedes,
        head: this.#createHead(openRequest, effect),
      },
      openRequest.body,
      this.#createListener(attemptId, {
        isDispatch: true,
        onUnreachable: () => this.#options.onHomeUnreachable(incarnation),
      }),
    );
  }

  /**
   * Queries an attempt's state on a new connection, since the attempt's own
   * connection may be unresponsive. An attempt that was sent by an earlier home
   * entry is registered here at its first query.
   */
  queryAttempt(
    effect: QueryAttempt,
    openRequest: OpenRequest | undefined,
  ): void {
    const { attemptId, target, agentIncarnation } = effect;
    if (openRequest !== undefined && !this.#sent.has(attemptId)) {
      this.#register(attemptId, openRequest, target);
    }
    const sent = this.#sent.get(attemptId);
    if (sent !== undefined) cancelRunning(sent);
    this.#agents.reconnect(target);
    const connection = this.#agents.connectionTo(target, agentIncarnation);
    if (sent === undefined || connection === undefined) {
      return this.#options.post({ type: "connectionLost", attemptId });
    }
    const query: AttemptQuery = {
      kind: "question",
      agentIncarnation,
      attemptId,
      organisation: sent.organisation,
      fingerprint: effect.fingerprint,
      ...(sent.keyText === undefined ? {} : { key: sent.keyText }),
    };
    const listener = this.#createListener(attemptId, { isDispatch: false });
    sent.running = connection.send(query, NO_BODY, listener);
  }

  /** Closes the attempt's connection, so that the agent stops the attempt. */
  cancel(attemptId: string): void {
    const sent = this.#sent.get(attemptId);
    if (sent === undefined) return;
    cancelRunning(sent);
    this.#options.placer.recordReply(attemptId, {});
  }

  pause(requestId: string): void {
    for (const running of this.#runningOf(requestId)) running.pause();
  }

  resume(requestId: string): void {
    for (const running of this.#runningOf(requestId)) running.resume();
  }

  /** Removes the records of a request that has ended. */
  removeRequest(requestId: string): void {
    for (const attemptId of this.#attemptsByRequest.get(requestId) ?? []) {
      this.#sent.delete(attemptId);
      this.#options.suspects.removeAttempt(attemptId);
    }
    this.#attemptsByRequest.delete(requestId);
  }

  async close(): Promise<void> {
    for (const timer of this.#withdrawals) clearTimeout(timer);
    await Promise.all([this.#agents.close(), this.#homes.close()]);
  }

  #reportLost({ name, incarnation }: PeerAddress): void {
    this.#options.post({
      type: "agentLost",
      target: name,
      agentIncarnation: incarnation,
    });
  }

  /** An agent that has withdrawn still answers the attempts on their way to it. */
  #reportLostLater(removed: PeerAddress): void {
    const timer = setTimeout(() => {
      this.#withdrawals.delete(timer);
      this.#reportLost(removed);
    }, WITHDRAWAL_MS);
    this.#withdrawals.add(timer);
  }

  #register(attemptId: string, openRequest: OpenRequest, target: string): void {
    const { requestId, organisation, keyText } = openRequest;
    this.#sent.set(attemptId, {
      requestId,
      organisation,
      keyText,
      target,
      running: undefined,
      listener: undefined,
    });
    const attempts = this.#attemptsByRequest.get(requestId) ?? [];
    attempts.push(attemptId);
    this.#attemptsByRequest.set(requestId, attempts);
  }

  #runningOf(requestId: string): readonly RequestHandle[] {
    return (this.#attemptsByRequest.get(requestId) ?? []).flatMap((attemptId) =>
      this.#sent.get(attemptId)?.running ?? []
    );
  }

  #createListener(
    attemptId: string,
    { isDispatch, onUnreachable }: {
      readonly isDispatch: boolean;
      readonly onUnreachable?: () => void;
    },
  ): AttemptListener {
    const { post } = this.#options;
    const listener: AttemptListener = {
      onFrame: (frame) => {
        if (!this.#isCurrent(attemptId, listener)) return;
        if (isFinalFrame(frame)) this.#handleFinalFrame(attemptId, frame);
        post({ type: "frameArrived", frame });
      },
      onClosed: (_reason, wasSent) => {
        if (!this.#isCurrent(attemptId, listener)) return;
        onUnreachable?.();
        if (!isDispatch || wasSent) {
          return post({ type: "connectionLost", attemptId });
        }
        this.#options.placer.recordLoss(attemptId);
        post({ type: "dispatchFailed", attemptId });
      },
    };
    const sent = this.#sent.get(attemptId);
    if (sent !== undefined) sent.listener = listener;
    return listener;
  }

  #isCurrent(attemptId: string, listener: AttemptListener): boolean {
    return this.#sent.get(attemptId)?.listener === listener;
  }

  /** Detaches the listener, since a close after the final frame is no loss. */
  #handleFinalFrame(attemptId: string, frame: PeerFrame): void {
    const sent = this.#sent.get(attemptId);
    if (sent !== undefined) sent.listener = undefined;
    this.#reportLoad(attemptId, frame);
  }

  #reportLoad(attemptId: string, frame: PeerFrame): void {
    const { placer } = this.#options;
    switch (frame.type) {
      case "end":
      case "failed":
        return placer.recordReply(attemptId, { load: frame.load });
      case "refused":
        return placer.recordReply(attemptId, {
          load: frame.load,
          refusedForMs: frame.retryAfterMs,
        });
    }
  }

  #createHead(
    openRequest: OpenRequest,
    effect: { readonly attemptId: string; readonly timeLeftMs: number },
  ): AttemptHead {
    const { entry, incarnation } = this.#options;
    return {
      attemptId: effect.attemptId,
      requestId: openRequest.requestId,
      organisation: openRequest.organisation,
      ...(openRequest.keyText === undefined
        ? {}
        : { key: openRequest.keyText }),
      fingerprint: openRequest.fingerprint,
      entry,
      entryIncarnation: incarnation,
      idempotent: openRequest.idempotent,
      method: openRequest.method,
      path: openRequest.path,
      contentType: openRequest.contentType,
      priority: openRequest.priority,
      timeLeftMs: effect.timeLeftMs,
      viewRevision: openRequest.viewRevision,
    };
  }
}

function cancelRunning(sent: SentAttempt): void {
  const { running } = sent;
  sent.running = undefined;
  sent.listener = undefined;
  running?.cancel();
}

function isFinalFrame(frame: PeerFrame): boolean {
  return frame.type === "end" || frame.type === "failed" ||
    frame.type === "refused" || frame.type === "outcome";
}
