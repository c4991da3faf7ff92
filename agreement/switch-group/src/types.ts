/** Events, effects and phases of a switch. */

import type {
  ExpertMap,
  GroupOrder,
  GroupOrderResult,
  OrderForwardingState,
  RankReport,
} from "@dandelionbank/types";

export type SwitchEvent =
  | {
    readonly type: "reported";
    /** Reports of all ranks that could be read, newer than any earlier ones. */
    readonly reports: readonly RankReport[];
    /** When the first of the ranks was asked. */
    readonly polledAtMs: number;
    /** Whether every report came through an agent that follows this coordinator. */
    readonly isFollowedByAll: boolean;
    /** Orders known to the agents that answered, by rank. */
    readonly agentOrders: ReadonlyMap<number, OrderForwardingState>;
  }
  /** A new map to switch to; ignored while a switch is in progress. */
  | { readonly type: "planned"; readonly map: ExpertMap }
  /** The map in force; see `requiresCurrentMap`. */
  | { readonly type: "currentMapRead"; readonly map: ExpertMap }
  | {
    readonly type: "orderEnded";
    readonly rank: number;
    readonly order: GroupOrder;
    readonly epoch: number;
    readonly result: GroupOrderResult;
  };

export type OrderEnded = Extract<SwitchEvent, { readonly type: "orderEnded" }>;

export type SwitchEffect =
  | {
    readonly type: "send";
    readonly rank: number;
    readonly order: GroupOrder;
    readonly epoch: number;
    /**
     * Whether the order may be sent directly to the rank if its agent does not
     * answer. True for orders that only complete a switch already in progress.
     */
    readonly mayBypassAgent: boolean;
    /**
     * Whether the coordinator itself must send the order to the rank. True for a
     * hold: an agent that froze with the order would leave its rank held.
     */
    readonly isDirect: boolean;
  }
  | {
    readonly type: "advanced";
    readonly phase: ActivePhase["name"] | "switched" | "abandoned";
    readonly version: number;
    readonly epoch: number;
    readonly step: number | undefined;
  };

/** Phase of a switch that has begun. */
export type ActivePhase =
  | {
    readonly name: "preparing";
    readonly version: number;
    readonly epoch: number;
    readonly map: ExpertMap;
    /** Start of the phase. */
    readonly sinceMs: number;
  }
  | {
    readonly name: "holding";
    readonly version: number;
    readonly epoch: number;
    /** The first pass that uses the new map. */
    readonly step: number;
    /** The rank that holds the pass. */
    readonly holder: number;
  }
  | {
    readonly name: "confirming";
    readonly version: number;
    readonly epoch: number;
    readonly step: number;
    readonly holder: number;
    /** When the pass was found to be held. */
    readonly sinceMs: number;
  }
  | {
    readonly name: "cancelling";
    readonly version: number;
    readonly epoch: number;
    /** The held pass, for which no rank was armed. */
    readonly step: number;
    readonly holder: number;
  }
  | {
    readonly name: "arming";
    readonly version: number;
    readonly epoch: number;
    readonly step: number;
    readonly holder: number;
    /** Ranks that have confirmed to be armed. */
    readonly armed: ReadonlySet<number>;
  }
  | {
    readonly name: "releasing";
    readonly version: number;
    readonly epoch: number;
    readonly step: number;
    readonly holder: number;
  }
  | {
    readonly name: "settling";
    readonly version: number;
    readonly epoch: number;
    /** Undefined if an earlier coordinator armed the ranks. */
    readonly step: number | undefined;
  }
  | {
    readonly name: "reverting";
    /** A new version of the map in force. */
    readonly version: number;
    readonly epoch: number;
    /** The map in force; undefined until it has been read. */
    readonly map: ExpertMap | undefined;
    /** Whether a rank has refused the version since the last reports. */
    readonly isRefused: boolean;
  };

export type Phase = { readonly name: "idle" } | ActivePhase;

export type PhaseOf<Name extends Phase["name"]> = Extract<
  Phase,
  { readonly name: Name }
>;
