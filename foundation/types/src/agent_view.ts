/** The part of an entry's view that it sends to one agent. */

import type { IncarnationClosing } from "./registration.ts";
import type { PlannedStop } from "./stop.ts";

export interface AgentView {
  readonly entry: string;
  readonly entryIncarnation: string;
  readonly revision: number;
  /** The planned stop of the agent's target; absent if none is planned. */
  readonly stop?: PlannedStop;
  /** Whether the platform lists the target's VM as leaving. */
  readonly isLeaving: boolean;
  readonly closings: readonly IncarnationClosing[];
  readonly progressTimeoutMs: number;
  readonly drainTimeoutMs: number;
}
