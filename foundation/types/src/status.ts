/** What processes tell of themselves, for operators. */

import type { Target, TargetLoad } from "./target.ts";

export interface AgentStatus {
  readonly target: Target;
  readonly incarnation: string;
  /** Revision of the newest view that an entry showed the agent. */
  readonly viewRevision: number;
  readonly isDraining: boolean;
  readonly load: TargetLoad;
}

export interface EntryStatus {
  readonly name: string;
  readonly incarnation: string;
  readonly dataCentre: string;
  readonly viewRevision: number;
  /** Whether the platform answers this entry. */
  readonly isPlatformReachable: boolean;
  readonly requestsInFlight: number;
  readonly uptimeMs: number;
}
