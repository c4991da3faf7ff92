/**
 * What a group's agents and its coordinator tell each other about a switch.
 *
 * Ranks count from 0. An incarnation is a positive integer that rises with
 * every start of the agent of a rank; 0 stands for none known. A map version
 * is unique in the group: it is made of the coordinator's fencing number and a
 * count, so that it also rises from one coordinator to the next.
 */

/** Versions that one holder of a fencing number may use. */
export const VERSIONS_PER_HOLDER = 4096;

/** The map that a group uses from a step on. */
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

/** One run of the agent of a rank. */
export interface RankIncarnation {
  readonly rank: number;
  readonly incarnation: number;
}

/** What an agent knows of the outcome of a proposal. */
export type VoteKind = "promised" | "aborted" | "committed";

/** One round of questions by one incarnation. */
export interface JoinRound {
  readonly incarnation: number;
  readonly round: number;
}

/** The first question of an agent that has just started, to each peer. */
export interface JoinMessage {
  readonly type: "join";
  readonly from: RankIncarnation;
  readonly round: number;
}

/** A promise to a peer, and the question what that peer knows. */
export interface AskMessage {
  readonly type: "ask";
  readonly from: RankIncarnation;
  /** The newest incarnation of the receiving rank that the sender knows. */
  readonly toIncarnation: number;
  readonly proposal: MapProposal;
}

export interface VoteMessage {
  readonly type: "vote";
  readonly from: RankIncarnation;
  /** As in a question; 0 in a vote for a coordinator. */
  readonly toIncarnation: number;
  readonly mapVersion: number;
  readonly vote: VoteKind;
}

/** What a rank runs, as its agent read it when it started. */
export interface RankEvidence {
  /** The last step that the rank began; -1 for none. */
  readonly step: number;
  /** The map of that step; 0 for none. */
  readonly mapVersion: number;
}

export interface StatusMessage extends SettledMaps {
  readonly type: "status";
  readonly from: RankIncarnation;
  /** The join that it answers; absent for a coordinator's query. */
  readonly join?: JoinRound;
  /** False while the agent is itself still learning from its peers. */
  readonly serving: boolean;
  readonly incarnations: readonly number[];
  readonly fencingFloor: number;
  /** The proposal that it promised and that is not settled. */
  readonly open?: MapProposal;
  /** Every version up to this one that is neither open nor in use is aborted. */
  readonly closedVersion: number;
  readonly evidence: RankEvidence;
}

export interface StagedMessage {
  readonly type: "staged";
  readonly from: RankIncarnation;
  readonly mapVersion: number;
  readonly step: number;
}

/** Orders and news from the coordinator to an agent. */
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

/** Asks an agent that has not promised to refuse. */
export interface CancelMessage {
  readonly type: "cancel";
  readonly fencingNumber: number;
  readonly mapVersion: number;
}

/** Every rank's promise, by the incarnation that gave it. */
export interface CertificateMessage {
  readonly type: "certificate";
  readonly fencingNumber: number;
  readonly mapVersion: number;
  readonly promisedBy: readonly number[];
}

/** Says which incarnation told that the proposal is aborted. */
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

/** Whom a message is for. */
export type Recipient =
  | {
    readonly kind: "rank";
    readonly rank: number;
    /** Set in an answer to a former incarnation, at the address it asked from. */
    readonly formerIncarnation?: number;
  }
  | { readonly kind: "coordinator"; readonly fencingNumber: number };
