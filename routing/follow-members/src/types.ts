/** What membership is told and what it concludes. */

import type { PlacementTarget } from "@dandelionbank/pick-target";
import type { AgentRegistration, VmListing } from "@dandelionbank/types";

export type MemberEvent =
  | {
    /** All agents that are registered, in place of those before. */
    readonly type: "agentsChanged";
    readonly agents: readonly AgentRegistration[];
  }
  | {
    /** The names of all targets with a planned stop. */
    readonly type: "stopsChanged";
    readonly targets: readonly string[];
  }
  | {
    /** The platform's list of VMs; an agent's VM has its target's name. */
    readonly type: "vmsListed";
    readonly vms: readonly VmListing[];
  }
  | {
    /** Something came from the agent: a reply, a frame or a heartbeat. */
    readonly type: "agentResponded";
    readonly target: string;
    readonly incarnation: string;
  }
  | {
    /** The agent could not be reached, or did not answer in time. */
    readonly type: "agentUnresponsive";
    readonly target: string;
    readonly incarnation: string;
  }
  | {
    /** The agent said that it takes no new work. */
    readonly type: "agentLeaving";
    readonly target: string;
    readonly incarnation: string;
  }
  | { readonly type: "tick" };

/** Why a target is in its state. */
export type MemberReason =
  | "answering"
  | "listed"
  | "unlisted"
  | "silent"
  | "gone"
  | "stopped"
  | "leaving";

export interface Member extends PlacementTarget {
  readonly dataCentre: string;
  readonly reason: MemberReason;
}

export type MemberEffect =
  | {
    readonly type: "membersChanged";
    readonly members: readonly Member[];
  }
  | {
    /** So many VMs vanished together that their absence counts for nothing. */
    readonly type: "listDistrusted";
    readonly dataCentre: string;
    readonly vanished: number;
  };
