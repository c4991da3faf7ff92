/** What the coordinator's core is told and what it asks for. */

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
    /** Of all ranks that could be read, newer than any before. */
    readonly reports: readonly RankReport[];
    /** True if every report came by an agent that follows this coordinator. */
    readonly isFollowedByAll: boolean;
    /** By rank: what the agents that answered know of orders. */
    readonly agentOrders: ReadonlyMap<number, OrderForwardingState>;
  }
  | { readonly type: "planned"; readonly map: ExpertMap }
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
     * True for orders that only end what has begun. They may go past a rank's
     * agent that does not answer.
     */
    readonly mayBypassAgent: boolean;
    /**
     * True for a hold, which the coordinator places itself: an agent that
     * freezes with its order would take the held rank along.
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

/** A switch that has begun. */
export type ActivePhase =
  | {
    readonly name: "preparing";
    readonly version: number;
    readonly epoch: number;
    readonly map: ExpertMap;
    readonly sinceMs: number;
  }
  | {
    readonly name: "holding";
    readonly version: number;
    readonly epoch: number;
    /** The pass that begins with the new map. */
    readonly step: number;
    readonly holder: number;
  }
  | {
    readonly name: "arming";
    readonly version: number;
    readonly epoch: number;
    readonly step: number;
    readonly holder: number;
    /** Ranks that have answered to be armed. */
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
    /** Undefined if another coordinator armed the ranks. */
    readonly step: number | undefined;
  };

export type Phase = { readonly name: "idle" } | ActivePhase;

export type PhaseOf<Name extends Phase["name"]> = Extract<
  Phase,
  { readonly name: Name }
>;
