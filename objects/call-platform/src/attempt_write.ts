/**
 * One attempt at a conditional write or deletion. A first attempt that was
 * certainly without effect ends the write by an error; after a lost answer
 * only an answer about the effect itself counts.
 */

import type { CallAnswer } from "./answer_buffer.ts";
import type { PlatformCall, PlatformCaller } from "./platform_caller.ts";
import { rateLimited, refused, unreachable } from "./platform_errors.ts";

/** How often a write whose answer is lost is sent in all. */
export const WRITE_ATTEMPTS = 4;

/** The write's answer is lost, or has been since an earlier attempt. */
export interface LostAttempt {
  readonly kind: "lost";
  readonly cause: unknown;
}

export interface AttemptOptions<Answer> {
  readonly caller: PlatformCaller;
  readonly step: string;
  readonly isRepeat: boolean;
  /** Reads an answer of status 200 or 412; throws if it is malformed. */
  readonly readAnswer: (answer: CallAnswer) => Answer;
}

export async function attemptWrite<Answer>(
  call: PlatformCall,
  options: AttemptOptions<Answer>,
): Promise<Answer | LostAttempt> {
  const result = await options.caller.call(call);
  if (result.kind === "lost") return { kind: "lost", cause: result.error };
  if (result.kind === "notSent") {
    return readRefusal(503, { ...options, cause: result.error });
  }
  const { status } = result.answer;
  if (status !== 200 && status !== 412) return readRefusal(status, options);
  try {
    return options.readAnswer(result.answer);
  } catch (cause) {
    return { kind: "lost", cause };
  }
}

function readRefusal(
  status: number,
  options: Pick<AttemptOptions<unknown>, "caller" | "step" | "isRepeat"> & {
    readonly cause?: unknown;
  },
): LostAttempt {
  const { caller, step, isRepeat, cause } = options;
  const isWithoutEffect = status < 500 || status === 503;
  if (isRepeat || !isWithoutEffect) return { kind: "lost", cause };
  const call = { step, peer: caller.peer, cause };
  if (status === 429) throw rateLimited(call);
  if (status === 503) throw unreachable(call);
  throw refused(call, status);
}
