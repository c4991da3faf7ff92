/**
 * Chooses a target for a request. Checks whether the request is quarantined,
 * then the limits of its organisation's contract, and then runs placement.
 */

import type {
  NoTarget,
  PickTarget,
  TargetPicked,
  UnansweredCode,
} from "@dandelionbank/track-requests";
import type { SuspectTask } from "@dandelionbank/watch-suspects";
import type { AttemptSender } from "./attempt_sender.ts";
import type { Placer } from "./placer.ts";
import type { RequestLimiter } from "./request_limiter.ts";
import type { RequestMetrics } from "./request_metrics.ts";
import type { RequestTable } from "./request_table.ts";

export interface TargetChooserOptions {
  readonly requests: RequestTable;
  readonly suspects: SuspectTask;
  readonly limiter: RequestLimiter;
  readonly placer: Placer;
  readonly sender: AttemptSender;
  readonly metrics: RequestMetrics;
}

export class TargetChooser {
  readonly #options: TargetChooserOptions;

  private constructor(options: TargetChooserOptions) {
    this.#options = options;
  }

  static create(options: TargetChooserOptions): TargetChooser {
    return new TargetChooser(options);
  }

  chooseTarget(request: PickTarget): TargetPicked | NoTarget {
    const { suspects, requests, limiter, metrics } = this.#options;
    const { requestId } = request;
    const verdict = suspects.evaluate(request.fingerprint);
    if (verdict.kind === "quarantined") {
      const { retryAfterMs } = verdict;
      return refuse(requestId, { code: "quarantined", retryAfterMs });
    }
    const openRequest = requests.get(requestId);
    const refusal = openRequest && limiter.admit(openRequest);
    if (refusal !== undefined) {
      metrics.countRefusal(refusal.code);
      return refuse(requestId, refusal);
    }
    if (verdict.kind === "clear") return this.#place(request, 0);
    const avoid = [...request.avoid, ...verdict.avoid];
    return this.#place({ ...request, avoid }, verdict.clearInMs);
  }

  /**
   * Runs placement. `minRetryAfterMs` is the time until the targets avoided for a
   * suspect request may be used again.
   */
  #place(
    request: PickTarget,
    minRetryAfterMs: number,
  ): TargetPicked | NoTarget {
    const { placer, requests, sender } = this.#options;
    const { requestId, pool, avoid } = request;
    const promptPrefix = requests.get(requestId)?.promptPrefix ?? "";
    const picked = placer.pick({ requestId, pool, avoid, promptPrefix });
    if (picked.kind === "refused") {
      const isBusy = picked.code === "DANDELIONBANK_POOL_BUSY";
      const code = isBusy ? "overloaded" : "noTarget";
      const retryAfterMs = Math.max(picked.retryAfterMs, minRetryAfterMs);
      return refuse(requestId, { code, retryAfterMs });
    }
    const { target } = picked;
    const agentIncarnation = sender.agentIncarnationOf(target) ?? "";
    return { type: "targetPicked", requestId, target, agentIncarnation };
  }
}

function refuse(
  requestId: string,
  refusal: { readonly code: UnansweredCode; readonly retryAfterMs: number },
): NoTarget {
  return { type: "noTarget", requestId, ...refusal };
}
