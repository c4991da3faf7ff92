/** State and services shared by all requests of an entry. */

import type { ByteBudget } from "@dandelionbank/collect-bytes";
import type { RetryBudget } from "@dandelionbank/budget-retries";
import type { ActiveConfiguration } from "@dandelionbank/track-configuration";
import type { Logger } from "@dandelionbank/log-events";
import type { PlacementState } from "@dandelionbank/pick-target";
import type { ProgressTracker } from "@dandelionbank/track-progress";
import type { TrackedNotices } from "@dandelionbank/track-notices";
import type { RegisteredTarget } from "@dandelionbank/types";
import type { CrashMonitor } from "@dandelionbank/watch-suspects";
import type { BodyIntake } from "./body_intake.ts";
import type { ForwardMetrics } from "./forward_metrics.ts";
import type { StreamAdmission } from "./stream_admission.ts";
import type { TargetPools } from "./target_pools.ts";

export interface ForwardContext {
  readonly logger: Logger;
  readonly metrics: ForwardMetrics;
  readonly bodies: BodyIntake;
  /** Memory for all answers that are kept until they are whole or sent. */
  readonly answerMemory: ByteBudget;
  readonly configuration: ActiveConfiguration;
  readonly placement: PlacementState;
  readonly notices: TrackedNotices;
  readonly pools: TargetPools;
  readonly admission: StreamAdmission;
  readonly retryBudget: RetryBudget;
  readonly progress: ProgressTracker;
  readonly crashMonitor: CrashMonitor;
  /** How long a group stalls when it loses a rank. */
  readonly stallMs: number;
  readonly findTarget: (run: string) => RegisteredTarget | undefined;
  /** Reports that a different target answers at the target's address. */
  readonly reportMisdirected: (run: string) => void;
  /** Number of live entries, this one included. */
  readonly countEntries: () => number;
  readonly isStopping: () => boolean;
}
