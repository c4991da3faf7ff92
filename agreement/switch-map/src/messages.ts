/**
 * Messages about a map switch between the agents of a group and its coordinator.
 *
 * A step is a pass of the model, which all ranks begin together. The coordinator
 * proposes a new map and its first step once all ranks have staged the map, that
 * is, prepared it without using it. Each agent votes on the proposal: it either
 * promises the switch or refuses it. A proposal is open until it is settled,
 * either committed by the promises of all ranks or aborted by one refusal.
 *
 * An agent that has just started joins: it asks its peers, the agents of the
 * other ranks, for their status and serves once all have answered. Its fencing
 * floor is the highest fencing number that it knows; it promises no proposal
 * with a lower one.
 *
 * Ranks are numbered from 0. An incarnation is a positive integer that increases
 * with every start of a rank's agent; 0 means unknown. A map version is unique in
 * the group: it is composed of the coordinator's fencing number and a counter, so
 * it also increases from one coordinator to the next.
 */

/** Number of versions available under one fencing number. */
export const VERSIONS_PER_HOLDER = 4096;

/** A map and the first step in which the group uses it. */
export interface SettledMap {
  readonly mapVersion: number;
  readonly fromStep: number;
}

/** The newest settled map of a group, and the one before it. */
export interface SettledMaps {
  readonly current: SettledMap;
  readonly previous: SettledMap;
}

export interface MapProposal extends SettledMap {
  /** The version that this one replaces. */
  readonly baseVersion: number;
  readonly fencingNumber: number;
}

/** One incarnation of the agent of a rank. */
export interface RankIncarnation {
  readonly rank: number;
  readonly incarnation: number;
}

/** What an agent knows about the outcome of a proposal. */
export type VoteKind = "promised" | "aborted" | "committed";

/** One round of join messages by one incarnation. */
export interface JoinRound {
  readonly incarnation: number;
  readonly round: number;
}

/** Asks a peer for its status; sent to each peer by an agent that has just started. */
export interface JoinMessage {
  readonly type: "join";
  readonly from: RankIncarnation;
  readonly round: number;
}

/** Tells a peer of the sender's promise and asks for the peer's vote. */
export interface AskMessage {
  readonly type: "ask";
  readonly from: RankIncarnation;
  /** The newest incarnation of the receiving rank known to the sender. */
  readonly toIncarnation: number;
  readonly proposal: MapProposal;
}

export interface VoteMessage {
  readonly type: "vote";
  readonly from: RankIncarnation;
  /** As in an `AskMessage`; 0 in a vote to a coordinator. */
  readonly toIncarnation: number;
  readonly mapVersion: number;
  readonly vote: VoteKind;
}

/** What a rank was running when its agent started. */
export interface RankEvidence {
  /** The last step that the rank began; -1 for none. */
  readonly step: number;
  /** The map of that step; 0 for none. */
  readonly mapVersion: number;
}

export interface StatusMessage extends SettledMaps {
  readonly type: "status";
  readonly from: RankIncarnation;
  /** The join round that is answered; absent in an answer to a coordinator. */
  readonly join?: JoinRound;
  /** False while the agent itself is still joining. */
  readonly serving: boolean;
  readonly incarnations: readonly number[];
  readonly fencingFloor: number;
  /** The proposal that the agent has promised and that is not settled. */
  readonly open?: MapProposal;
  /** Every version up to this one that is neither open nor in use was aborted. */
  readonly closedVersion: number;
  readonly evidence: RankEvidence;
}

export interface StagedMessage {
  readonly type: "staged";
  readonly from: RankIncarnation;
  readonly mapVersion: number;
  readonly step: number;
}

/** Asks an agent for its status. */
export interface QueryMessage {
  readonly type: "query";
  readonly fencingNumber: number;
}

export interface StageMessage {
  readonly type: "stage";
  readonly fencingNumber: number;
  readonly mapVersion: number;
}

export interface ProposeMessage {
  readonly type: "propose";
  readonly fencingNumber: number;
  readonly proposal: MapProposal;
}

/** Asks an agent to refuse the proposal, unless it has already promised it. */
export interface CancelMessage {
  readonly type: "cancel";
  readonly fencingNumber: number;
  readonly mapVersion: number;
}

/** Shows that every rank has promised, with the incarnations that did. */
export interface CertificateMessage {
  readonly type: "certificate";
  readonly fencingNumber: number;
  readonly mapVersion: number;
  readonly promisedBy: readonly number[];
}

/** Reports that a proposal is aborted, with the incarnation that said so. */
export interface AbortMessage {
  readonly type: "abort";
  readonly fencingNumber: number;
  readonly mapVersion: number;
  readonly by: RankIncarnation;
}

export type RankMessage =
  | JoinMessage
  | AskMessage
  | VoteMessage
  | StatusMessage
  | StagedMessage;

export type CoordinatorMessage =
  | QueryMessage
  | StageMessage
  | ProposeMessage
  | CancelMessage
  | CertificateMessage
  | AbortMessage;

export type SwitchMessage = RankMessage | CoordinatorMessage;

/** Recipient of a message. */
export type Recipient =
  | {
    readonly kind: "rank";
    readonly rank: number;
    /** Set in an answer to a superseded incarnation, sent to the address of its request. */
    readonly formerIncarnation?: number;
  }
  | { readonly kind: "coordinator"; readonly fencingNumber: number };
