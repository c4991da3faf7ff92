/**
 * Conditional deletion that is retried until its outcome is known. A deletion has
 * no change id, so an object that no longer exists counts as deleted, whoever
 * deleted it.
 */

import { parseConflict, parseDeleted } from "@dandelionbank/parse-answers";
import type { DeleteResult, ObjectList } from "@dandelionbank/types";
import type { CallAnswer } from "./answer_buffer.ts";
import { attemptWrite, MAX_WRITE_ATTEMPTS } from "./attempt_write.ts";
import type { PlatformCaller } from "./platform_caller.ts";
import { createUnsettledError } from "./platform_errors.ts";
import { computeRetryDelayMs } from "./retry_delay.ts";

export interface ObjectDeletion {
  readonly path: string;
  readonly name: string;
  readonly expectedRevision: number;
  readonly step: string;
}

export interface DeletionContext {
  readonly caller: PlatformCaller;
  /** Lists all objects of the deleted object's kind. */
  readonly listKind: () => Promise<ObjectList>;
}

export async function deleteObject(
  deletion: ObjectDeletion,
  context: DeletionContext,
): Promise<DeleteResult> {
  const { caller } = context;
  const { step, path, expectedRevision } = deletion;
  let cause: unknown;
  for (let attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt++) {
    const isRetry = attempt > 0;
    const result = await attemptWrite({
      method: "DELETE",
      path,
      headers: { "if-match": String(expectedRevision) },
      countedAs: "writes",
    }, { caller, step, isRetry, parseAnswer });
    if (result.kind === "deleted") return result;
    if (result.kind === "conflict" && !isRetry) return result;
    if (result.kind === "lost") cause = result.cause;
    const revision = await confirmDeletion(deletion, context);
    if (revision !== undefined) return { kind: "deleted", revision };
    await caller.wait(computeRetryDelayMs(attempt, caller.random));
  }
  throw createUnsettledError({ step, peer: caller.peer, cause });
}

function parseAnswer(answer: CallAnswer): DeleteResult {
  return answer.status === 200
    ? { kind: "deleted", revision: parseDeleted(answer.text) }
    : { kind: "conflict", current: parseConflict(answer.text) };
}

/**
 * Returns the store's revision if a list shows that the object is deleted, or
 * `undefined` if the list is stale or shows the object unchanged. Throws if the
 * name has been written again.
 */
async function confirmDeletion(
  deletion: ObjectDeletion,
  context: DeletionContext,
): Promise<number | undefined> {
  const { name, expectedRevision, step } = deletion;
  let list: ObjectList;
  try {
    list = await context.listKind();
  } catch {
    return undefined;
  }
  if (list.revision <= expectedRevision) return undefined;
  const current = list.items.find((item) => item.name === name);
  if (current === undefined) return list.revision;
  if (current.revision <= expectedRevision) return undefined;
  throw createUnsettledError({ step, peer: context.caller.peer });
}
