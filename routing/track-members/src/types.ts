/** Events and effects of target membership. */

import type { PlacementTarget } from "@dandelionbank/pick-target";
import type { AgentRegistration, VmListing } from "@dandelionbank/types";

export type MemberEvent =
  | {
    /** All registered agents; replaces the previous list. */
    readonly type: "agentsChanged";
    readonly agents: readonly AgentRegistration[];
  }
  | {
    /** The names of all targets with a planned stop. */
    readonly type: "stopsChanged";
    readonly targets: readonly string[];
  }
  | {
    /** The platform's list of VMs; a VM has the name of its agent's target. */
    readonly type: "vmsListed";
    readonly vms: readonly VmListing[];
  }
  | {
    /** A reply, a frame or a heartbeat was received from the agent. */
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
    /** The agent reported that it takes no new work. */
    readonly type: "agentLeaving";
    readonly target: string;
    readonly incarnation: string;
  }
  | { readonly type: "tick" };

/** The reason for a target's state. */
export type MemberReason =
  /** The agent has answered, and none of the reasons below holds. */
  | "answering"
  /** The agent has not answered yet, but its VM is listed. */
  | "listed"
  /** The agent has not answered yet, and its VM is absent from the list. */
  | "unlisted"
  /** The agent does not answer. */
  | "unresponsive"
  /** The agent has not answered for some time, and its VM is absent from the list. */
  | "gone"
  /** An operator has planned a stop of the target. */
  | "stopped"
  /** The agent or the list reports that the target is leaving. */
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
    /** Most VMs of a data centre vanished at once, so their absence is ignored. */
    readonly type: "listDistrusted";
    readonly dataCentre: string;
    readonly vanished: number;
  };
