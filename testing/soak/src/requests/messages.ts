/** Messages between the callers, entries and agents of the soak `requests`. */

import type { HomeReport } from "@dandelionbank/admit-attempts";
import type { TargetLoss } from "@dandelionbank/quarantine-requests";
import type { OutcomeFrame, RelayInfo } from "@dandelionbank/track-requests";
import type { AttemptFrame, AttemptHead, Outcome } from "@dandelionbank/types";
import type { RequestKey } from "@dandelionbank/read-ticket";

export type Message =
  | CallMessage
  | CallerGoneMessage
  | RelayMessage
  | ReplyMessage
  | AttemptMessage
  | QueryMessage
  | CancelMessage
  | FrameMessage
  | AskKeysMessage
  | KeysReplyMessage
  | LossesMessage
  | PingMessage;

/** A caller's request, sent to one incarnation of an entry. */
export interface CallMessage {
  readonly type: "call";
  readonly incarnation: string;
  readonly callerId: string;
  readonly operationId: string;
  readonly key: RequestKey | undefined;
  readonly timeLeftMs: number;
}

export interface CallerGoneMessage {
  readonly type: "callerGone";
  readonly incarnation: string;
  readonly callerId: string;
}

/** A request that an entry relays to the home of its key. */
export interface RelayMessage extends Omit<CallMessage, "type"> {
  readonly type: "relay";
  readonly relay: RelayInfo;
}

/** A part of the answer to a caller, numbered by its order on the connection. */
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

export interface QueryMessage {
  readonly type: "query";
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

export interface AskKeysMessage {
  readonly type: "keys";
  readonly askId: string;
  readonly agentIncarnation: string;
  readonly incarnations: readonly string[];
}

export interface KeysReplyMessage {
  readonly type: "keysReply";
  readonly askId: string;
  readonly agentIncarnation: string;
  readonly homes: readonly HomeReport[];
}

/** Reports to another entry which requests were running when a target was lost. */
export interface LossesMessage {
  readonly type: "losses";
  readonly losses: readonly TargetLoss[];
}

/** Shows another entry that this incarnation is alive. */
export interface PingMessage {
  readonly type: "ping";
  readonly incarnation: string;
}
