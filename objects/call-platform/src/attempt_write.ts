/**
 * Makes one attempt at a conditional write or deletion. If a first attempt
 * certainly had no effect, the write fails with an error. Once an answer has been
 * lost, an earlier attempt may have taken effect, so a later refusal does not
 * decide the outcome.
 */

import type { CallAnswer } from "./answer_buffer.ts";
import type { PlatformCall, PlatformCaller } from "./platform_caller.ts";
import {
  createRateLimitedError,
  createRefusedError,
  createUnreachableError,
} from "./platform_errors.ts";

/** How often a write whose answer is lost is sent in total. */
export const MAX_WRITE_ATTEMPTS = 4;

/** The outcome is unknown, since this or an earlier answer was lost. */
export interface LostAttempt {
  readonly kind: "lost";
  readonly cause: unknown;
}

export interface AttemptOptions<Answer> {
  readonly caller: PlatformCaller;
  readonly step: string;
  readonly isRetry: boolean;
  /** Parses an answer of status 200 or 412; throws if it is malformed. */
  readonly parseAnswer: (answer: CallAnswer) => Answer;
}

export async function attemptWrite<Answer>(
  call: PlatformCall,
  options: AttemptOptions<Answer>,
): Promise<Answer | LostAttempt> {
  const result = await options.caller.call(call);
  if (result.kind === "lost") return { kind: "lost", cause: result.error };
  if (result.kind === "notSent") {
    return handleRefusal(503, { ...options, cause: result.error });
  }
  const { status } = result.answer;
  if (status !== 200 && status !== 412) return handleRefusal(status, options);
  try {
    return options.parseAnswer(result.answer);
  } catch (cause) {
    return { kind: "lost", cause };
  }
}

function handleRefusal(
  status: number,
  options: Pick<AttemptOptions<unknown>, "caller" | "step" | "isRetry"> & {
    readonly cause?: unknown;
  },
): LostAttempt {
  const { caller, step, isRetry, cause } = options;
  const hadNoEffect = status < 500 || status === 503;
  if (isRetry || !hadNoEffect) return { kind: "lost", cause };
  const failedCall = { step, peer: caller.peer, cause };
  if (status === 429) throw createRateLimitedError(failedCall);
  if (status === 503) throw createUnreachableError(failedCall);
  throw createRefusedError(failedCall, status);
}
