/**
 * Sends attempts to agents and passes requests to their homes. Each frame and
 * each loss of a connection becomes an event of the ledger.
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

export interface AttemptSenderOptions {
  readonly entry: string;
  readonly incarnation: string;
  readonly peerSecret: string;
  readonly connector?: HttpConnector;
  readonly logger: Logger;
  readonly placer: Placer;
  readonly suspects: SuspectTask;
  readonly post: (event: TrackEvent) => void;
  /** A request could not be passed to this home. */
  readonly onHomeSilent: (incarnation: string) => void;
}

interface SentAttempt {
  readonly requestId: string;
  readonly organisation: string;
  readonly keyText: string | undefined;
  readonly target: string;
  running: RequestHandle | undefined;
  /** The listener whose connection counts; any other's is a stranger's. */
  listener: AttemptListener | undefined;
}

export class AttemptSender {
  readonly #options: AttemptSenderOptions;
  readonly #agents: PeerLinks;
  readonly #homes: PeerLinks;
  readonly #sent = new Map<string, SentAttempt>();
  readonly #attemptsOf = new Map<string, string[]>();

  private constructor(options: AttemptSenderOptions) {
    this.#options = options;
    this.#agents = PeerLinks.create(options);
    this.#homes = PeerLinks.create(options);
  }

  static create(options: AttemptSenderOptions): AttemptSender {
    return new AttemptSender(options);
  }

  replaceAgents(agents: readonly PeerAddress[]): void {
    for (const { name, incarnation } of this.#agents.replaceAll(agents)) {
      this.#options.post({
        type: "agentLost",
        target: name,
        agentIncarnation: incarnation,
      });
    }
  }

  replaceEntries(entries: readonly PeerAddress[]): void {
    this.#homes.replaceAll(entries);
  }

  agentIncarnationOf(target: string): string | undefined {
    return this.#agents.incarnationOf(target);
  }

  /** Where the request's newest attempt went. */
  targetOf(requestId: string): string | undefined {
    const newest = this.#attemptsOf.get(requestId)?.at(-1);
    return this.#sent.get(newest ?? "")?.target;
  }

  dispatch(effect: Dispatch, open: OpenRequest | undefined): void {
    const { attemptId, target, agentIncarnation, requestId } = effect;
    this.#options.placer.bind(requestId, attemptId);
    const connection = this.#agents.find(target, agentIncarnation);
    if (open === undefined || connection === undefined) {
      this.#options.placer.lose(attemptId);
      return this.#options.post({ type: "dispatchFailed", attemptId });
    }
    this.#remember(attemptId, open, target);
    const head = this.#headOf(open, effect);
    const suspect = this.#options.suspects.noteAttempt(
      attemptId,
      open.fingerprint,
    );
    const kind = "attempt" as const;
    const message = { kind, agentIncarnation, suspect, head };
    const sent = this.#sent.get(attemptId);
    if (sent === undefined) return;
    sent.running = connection.send(
      message,
      open.body,
      this.#listen(attemptId, { isFirst: true }),
    );
  }

  passToHome(effect: RelayToHome, open: OpenRequest | undefined): void {
    const { attemptId, incarnation } = effect;
    const connection = this.#homes.find(incarnation, incarnation);
    if (open === undefined || connection === undefined) {
      this.#options.onHomeSilent(incarnation);
      return this.#options.post({ type: "dispatchFailed", attemptId });
    }
    this.#remember(attemptId, open, incarnation);
    const sent = this.#sent.get(attemptId);
    if (sent === undefined) return;
    sent.running = connection.send(
      {
        kind: "relay",
        homeIncarnation: incarnation,
        pool: open.pool,
        resumable: open.resumable,
        estimatedTokens: open.estimatedTokens,
        supersedes: effect.supersedes,
        head: this.#headOf(open, effect),
      },
      open.body,
      this.#listen(attemptId, {
        isFirst: true,
        onSilent: () => this.#options.onHomeSilent(incarnation),
      }),
    );
  }

  /**
   * Asks on a new connection, since the attempt's own may have gone silent. An
   * attempt that an earlier home sent is asked about for the first time here.
   */
  askAbout(effect: QueryAttempt, open: OpenRequest | undefined): void {
    const { attemptId, target, agentIncarnation } = effect;
    if (open !== undefined && !this.#sent.has(attemptId)) {
      this.#remember(attemptId, open, target);
    }
    const sent = this.#sent.get(attemptId);
    if (sent !== undefined) drop(sent);
    this.#agents.renew(target);
    const connection = this.#agents.find(target, agentIncarnation);
    if (sent === undefined || connection === undefined) {
      return this.#options.post({ type: "connectionLost", attemptId });
    }
    const question: AttemptQuery = {
      kind: "question",
      agentIncarnation,
      attemptId,
      organisation: sent.organisation,
      fingerprint: effect.fingerprint,
      ...(sent.keyText === undefined ? {} : { key: sent.keyText }),
    };
    const listener = this.#listen(attemptId, { isFirst: false });
    sent.running = connection.send(question, NO_BODY, listener);
  }

  cancel(attemptId: string): void {
    const sent = this.#sent.get(attemptId);
    if (sent === undefined) return;
    drop(sent);
    this.#options.placer.reply(attemptId, {});
  }

  pause(requestId: string): void {
    for (const running of this.#runningOf(requestId)) running.pause();
  }

  resume(requestId: string): void {
    for (const running of this.#runningOf(requestId)) running.resume();
  }

  /** The request is over. */
  forget(requestId: string): void {
    for (const attemptId of this.#attemptsOf.get(requestId) ?? []) {
      this.#sent.delete(attemptId);
      this.#options.suspects.forgetAttempt(attemptId);
    }
    this.#attemptsOf.delete(requestId);
  }

  async close(): Promise<void> {
    await Promise.all([this.#agents.close(), this.#homes.close()]);
  }

  #remember(attemptId: string, open: OpenRequest, target: string): void {
    const { requestId, organisation, keyText } = open;
    this.#sent.set(attemptId, {
      requestId,
      organisation,
      keyText,
      target,
      running: undefined,
      listener: undefined,
    });
    const attempts = this.#attemptsOf.get(requestId) ?? [];
    attempts.push(attemptId);
    this.#attemptsOf.set(requestId, attempts);
  }

  #runningOf(requestId: string): readonly RequestHandle[] {
    return (this.#attemptsOf.get(requestId) ?? []).flatMap((attemptId) =>
      this.#sent.get(attemptId)?.running ?? []
    );
  }

  #listen(
    attemptId: string,
    { isFirst, onSilent }: {
      readonly isFirst: boolean;
      readonly onSilent?: () => void;
    },
  ): AttemptListener {
    const { post } = this.#options;
    const listener: AttemptListener = {
      onFrame: (frame) => {
        if (!this.#isCurrent(attemptId, listener)) return;
        if (isLast(frame)) this.#endAttempt(attemptId, frame);
        post({ type: "frameArrived", frame });
      },
      onClosed: (_reason, wasSent) => {
        if (!this.#isCurrent(attemptId, listener)) return;
        onSilent?.();
        if (!isFirst || wasSent) {
          return post({ type: "connectionLost", attemptId });
        }
        this.#options.placer.lose(attemptId);
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

  /** The connection is of no more use, and its close says nothing. */
  #endAttempt(attemptId: string, frame: PeerFrame): void {
    const sent = this.#sent.get(attemptId);
    if (sent !== undefined) sent.listener = undefined;
    this.#reportLoad(attemptId, frame);
  }

  #reportLoad(attemptId: string, frame: PeerFrame): void {
    const { placer } = this.#options;
    switch (frame.type) {
      case "end":
      case "failed":
        return placer.reply(attemptId, { load: frame.load });
      case "refused":
        return placer.reply(attemptId, {
          load: frame.load,
          refusedForMs: frame.retryAfterMs,
        });
    }
  }

  #headOf(
    open: OpenRequest,
    effect: { readonly attemptId: string; readonly timeLeftMs: number },
  ): AttemptHead {
    const { entry, incarnation } = this.#options;
    return {
      attemptId: effect.attemptId,
      requestId: open.requestId,
      organisation: open.organisation,
      ...(open.keyText === undefined ? {} : { key: open.keyText }),
      fingerprint: open.fingerprint,
      entry,
      entryIncarnation: incarnation,
      idempotent: open.idempotent,
      method: open.method,
      path: open.path,
      contentType: open.contentType,
      priority: open.priority,
      timeLeftMs: effect.timeLeftMs,
      viewRevision: open.viewRevision,
    };
  }
}

function drop(sent: SentAttempt): void {
  const { running } = sent;
  sent.running = undefined;
  sent.listener = undefined;
  running?.cancel();
}

function isLast(frame: PeerFrame): boolean {
  return frame.type === "end" || frame.type === "failed" ||
    frame.type === "refused" || frame.type === "outcome";
}
