/** Status reports: of an entry to operators, and of an agent to entries. */

import type { OutcomeKind } from "./outcome.ts";
import type { Target, TargetLoad } from "./target.ts";

/** The state of one target as seen by an entry. */
export interface TargetStatus {
  readonly target: Target;
  /** `stopping` while a planned stop is in force; `unreachable` if calls fail. */
  readonly state: "serving" | "stopping" | "unreachable";
  readonly load?: TargetLoad;
}

export interface EntryStatus {
  readonly name: string;
  readonly dataCentre: string;
  readonly callerUrl: string;
}

export interface StatusReport {
  /** The entry that reports. */
  readonly entry: EntryStatus;
  readonly version: string;
  readonly incarnation: string;
  readonly isReady: boolean;
  /** Why the entry does not accept requests; empty when it is ready. */
  readonly notReadyReasons: readonly string[];
  readonly viewRevision: number;
  /** Revision of the configuration in force; absent if there is none. */
  readonly configRevision?: number;
  /** Whether the platform answered the entry's last call. */
  readonly isPlatformReachable: boolean;
  readonly entries: readonly EntryStatus[];
  readonly targets: readonly TargetStatus[];
  /** Number of requests that have ended at this entry since its start, by outcome. */
  readonly outcomes: Readonly<Record<OutcomeKind, number>>;
}

/** The status that an agent reports to entries. */
export interface AgentStatus {
  readonly target: Target;
  readonly incarnation: string;
  /** Revision of the newest view that an entry has sent to the agent. */
  readonly viewRevision: number;
  readonly isDraining: boolean;
  readonly load: TargetLoad;
}
