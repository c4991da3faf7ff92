/** Messages between callers, entries and agents of the soak `requests`. */

import type { HomeReport } from "@dandelionbank/admit-attempts";
import type { TargetLoss } from "@dandelionbank/quarantine-requests";
import type { OutcomeFrame, RelayInfo } from "@dandelionbank/track-requests";
import type { AttemptFrame, AttemptHead, Outcome } from "@dandelionbank/types";
import type { RequestKey } from "@dandelionbank/read-ticket";

export type Message =
  | CallMessage
  | CallerGone
  | PassMessage
  | ReplyMessage
  | AttemptMessage
  | AskMessage
  | CancelMessage
  | FrameMessage
  | KeysMessage
  | KeysReply
  | LossesMessage
  | Beat;

/** A caller's request, on a connection to one life of an entry. */
export interface CallMessage {
  readonly type: "call";
  readonly incarnation: string;
  readonly callerId: string;
  readonly operationId: string;
  readonly key: RequestKey | undefined;
  readonly timeLeftMs: number;
}

export interface CallerGone {
  readonly type: "callerGone";
  readonly incarnation: string;
  readonly callerId: string;
}

/** A request that an entry passes to the home of its key. */
export interface PassMessage extends Omit<CallMessage, "type"> {
  readonly type: "pass";
  readonly relay: RelayInfo;
}

/** What a caller gets; in order on its connection. */
export interface ReplyMessage {
  readonly type: "reply";
  readonly callerId: string;
  readonly order: number;
  readonly part:
    | { readonly kind: "head" }
    | { readonly kind: "data"; readonly data: string }
    | { readonly kind: "end" }
    | { readonly kind: "outcome"; readonly outcome: Outcome };
}

export interface AttemptMessage {
  readonly type: "attempt";
  readonly head: AttemptHead;
  readonly operationId: string;
  readonly keyId: string | undefined;
  readonly agentIncarnation: string;
  readonly suspect: boolean;
}

export interface AskMessage {
  readonly type: "ask";
  readonly attemptId: string;
  readonly keyId: string | undefined;
  readonly fingerprint: string;
  readonly agentIncarnation: string;
}

export interface CancelMessage {
  readonly type: "cancel";
  readonly attemptId: string;
}

export interface FrameMessage {
  readonly type: "frame";
  readonly frame: AttemptFrame | OutcomeFrame;
}

export interface KeysMessage {
  readonly type: "keys";
  readonly askId: string;
  readonly agentIncarnation: string;
  readonly incarnations: readonly string[];
}

export interface KeysReply {
  readonly type: "keysReply";
  readonly askId: string;
  readonly agentIncarnation: string;
  readonly homes: readonly HomeReport[];
}

/** An entry tells another which requests lost a target. */
export interface LossesMessage {
  readonly type: "losses";
  readonly losses: readonly TargetLoss[];
}

/** An entry tells another that it lives. */
export interface Beat {
  readonly type: "beat";
  readonly incarnation: string;
}
