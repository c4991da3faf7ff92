/**
 * Conditional write that is retried until its outcome is known. The change id
 * distinguishes its own effect from another write, so a retry is safe, and a
 * conflict with its own effect counts as success.
 */

import { parseConflict, parseStoredObject } from "@dandelionbank/parse-answers";
import type {
  StoredObject,
  WriteOptions,
  WriteResult,
} from "@dandelionbank/types";
import type { CallAnswer } from "./answer_buffer.ts";
import { attemptWrite, MAX_WRITE_ATTEMPTS } from "./attempt_write.ts";
import type { PlatformCall, PlatformCaller } from "./platform_caller.ts";
import { createUnsettledError } from "./platform_errors.ts";
import { computeRetryDelayMs } from "./retry_delay.ts";
import { resolveLostWrite } from "./resolve_lost_write.ts";

export interface ObjectWrite extends WriteOptions {
  readonly path: string;
  readonly value: unknown;
  readonly step: string;
}

export interface WriteContext {
  readonly caller: PlatformCaller;
  readonly readBack: () => Promise<StoredObject | undefined>;
}

export async function writeObject(
  write: ObjectWrite,
  context: WriteContext,
): Promise<WriteResult> {
  const { caller } = context;
  let cause: unknown;
  for (let attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt++) {
    const isRetry = attempt > 0;
    const result = await attemptWrite(createCall(write), {
      caller,
      step: write.step,
      isRetry,
      parseAnswer: (answer) => parseAnswer(answer, write),
    });
    if (result.kind === "written") return result;
    if (result.kind === "conflict" && !isRetry) return result;
    if (result.kind === "conflict") break;
    cause = result.cause;
    const object = await readOwnEffect(write, context);
    if (object !== undefined) return { kind: "written", object };
    await caller.wait(computeRetryDelayMs(attempt, caller.random));
  }
  throw createUnsettledError({ step: write.step, peer: caller.peer, cause });
}

function createCall(write: ObjectWrite): PlatformCall {
  const { path, changeId, value, expectedRevision } = write;
  const condition: Readonly<Record<string, string>> =
    expectedRevision === undefined
      ? { "if-none-match": "*" }
      : { "if-match": String(expectedRevision) };
  return {
    method: "PUT",
    path,
    headers: { "content-type": "application/json", ...condition },
    body: JSON.stringify({ changeId, value }),
    countedAs: "writes",
  };
}

function parseAnswer(answer: CallAnswer, write: ObjectWrite): WriteResult {
  if (answer.status === 200) {
    return { kind: "written", object: parseStoredObject(answer.text) };
  }
  const current = parseConflict(answer.text);
  return current?.changeId === write.changeId
    ? { kind: "written", object: current }
    : { kind: "conflict", current };
}

/**
 * Returns the object if a read shows this write's effect, or `undefined` if the
 * write should be sent again. Throws if its outcome can no longer be determined.
 */
async function readOwnEffect(
  write: ObjectWrite,
  context: WriteContext,
): Promise<StoredObject | undefined> {
  let current: StoredObject | undefined;
  try {
    current = await context.readBack();
  } catch {
    return undefined;
  }
  const resolution = resolveLostWrite(current, write);
  if (resolution.kind === "written") return resolution.object;
  if (resolution.kind === "sendAgain") return undefined;
  throw createUnsettledError({ step: write.step, peer: context.caller.peer });
}
