/** What all requests of an entry share. */

import type { RetryBudget } from "@dandelionbank/budget-retries";
import type { HeldConfiguration } from "@dandelionbank/hold-configuration";
import type { Logger } from "@dandelionbank/log-events";
import type { PlacementCoreState } from "@dandelionbank/pick-target";
import type { FollowedProgress } from "@dandelionbank/follow-progress";
import type { MemberTarget } from "@dandelionbank/types";
import type { CrashMonitor } from "@dandelionbank/watch-suspects";
import type { ForwardMetrics } from "./forward_metrics.ts";
import type { StreamAdmission } from "./stream_admission.ts";
import type { TargetPools } from "./target_pools.ts";

export interface ForwardContext {
  readonly logger: Logger;
  readonly metrics: ForwardMetrics;
  readonly configuration: HeldConfiguration;
  readonly placement: PlacementCoreState;
  readonly pools: TargetPools;
  readonly admission: StreamAdmission;
  readonly retryBudget: RetryBudget;
  readonly progress: FollowedProgress;
  readonly crashMonitor: CrashMonitor;
  /** How long a group stalls on a rank that is lost. */
  readonly stallMs: number;
  readonly findTarget: (id: string) => MemberTarget | undefined;
  /** Another target answers at the target's address. */
  readonly reportMisdirected: (id: string) => void;
  /** True if a target of the service is open that was not tried yet. */
  readonly hasUntriedTarget: (
    service: string,
    tried: readonly string[],
  ) => boolean;
  /** Entries that run, this one included. */
  readonly countEntries: () => number;
  readonly isStopping: () => boolean;
}
