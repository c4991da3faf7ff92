/** What all requests of an entry share. */

import type { RetryBudget } from "@dandelionbank/budget-retries";
import type { ActiveConfiguration } from "@dandelionbank/hold-configuration";
import type { Logger } from "@dandelionbank/log-events";
import type { PlacementCoreState } from "@dandelionbank/pick-target";
import type { ProgressTracker } from "@dandelionbank/follow-progress";
import type { RegisteredTarget } from "@dandelionbank/types";
import type { CrashWatch } from "@dandelionbank/watch-suspects";
import type { ForwardMetrics } from "./forward_metrics.ts";
import type { StreamGate } from "./stream_gate.ts";
import type { TargetPools } from "./target_pools.ts";

export interface ForwardContext {
  readonly logger: Logger;
  readonly metrics: ForwardMetrics;
  readonly held: ActiveConfiguration;
  readonly placement: PlacementCoreState;
  readonly pools: TargetPools;
  readonly gate: StreamGate;
  readonly budget: RetryBudget;
  readonly progress: ProgressTracker;
  readonly crashes: CrashWatch;
  /** How long a group stalls on a rank that is lost. */
  readonly stallMs: number;
  readonly findTarget: (id: string) => RegisteredTarget | undefined;
  /** Another target answers at the target's address. */
  readonly noteMisdirected: (id: string) => void;
  /** True if a target of the service is open that was not tried yet. */
  readonly hasOtherTarget: (
    service: string,
    tried: readonly string[],
  ) => boolean;
  /** Entries that run, this one included. */
  readonly countEntries: () => number;
  readonly isLeaving: () => boolean;
}
