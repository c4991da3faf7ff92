/** Makes a read call, and retries it once if the answer is lost or malformed. */

import type { CallAnswer } from "./answer_buffer.ts";
import type { CallCounts } from "./call_counter.ts";
import type { PlatformCaller } from "./platform_caller.ts";
import {
  createRateLimitedError,
  createRefusedError,
  createUnreachableError,
} from "./platform_errors.ts";

const MAX_READ_ATTEMPTS = 2;

export interface Read<Value> {
  readonly path: string;
  readonly step: string;
  readonly countedAs: keyof CallCounts;
  readonly parse: (text: string) => Value;
  /** Returns the value for a 404; without it, a 404 is an error. */
  readonly onNotFound?: () => Value;
}

export async function readAnswer<Value>(
  caller: PlatformCaller,
  read: Read<Value>,
): Promise<Value> {
  const { path, step, countedAs } = read;
  const call = { step, peer: caller.peer };
  let cause: unknown;
  for (let attempt = 0; attempt < MAX_READ_ATTEMPTS; attempt++) {
    const result = await caller.call({ method: "GET", path, countedAs });
    if (result.kind === "answered") {
      const { answer } = result;
      if (answer.status === 404 && read.onNotFound) return read.onNotFound();
      checkStatus(answer, call);
      try {
        return read.parse(answer.text);
      } catch (error) {
        cause = error;
      }
    } else {
      cause = result.error;
      if (result.kind === "notSent") break;
    }
  }
  throw createUnreachableError({ ...call, cause });
}

function checkStatus(
  { status }: CallAnswer,
  call: { readonly step: string; readonly peer: string },
): void {
  if (status === 200) return;
  if (status === 429) throw createRateLimitedError(call);
  if (status >= 500) throw createUnreachableError(call);
  throw createRefusedError(call, status);
}
