/**
 * A conditional deletion that is followed until it is settled. It has no
 * change id: an object that is gone counts as deleted, whoever deleted it.
 */

import { parseConflict, parseDeleted } from "@dandelionbank/parse-answers";
import type { DeleteResult, ObjectList } from "@dandelionbank/types";
import type { CallAnswer } from "./answer_buffer.ts";
import { attemptWrite, WRITE_ATTEMPTS } from "./attempt_write.ts";
import type { PlatformCaller } from "./platform_caller.ts";
import { unsettled } from "./platform_errors.ts";
import { delayAfterLoss } from "./retry_delay.ts";

export interface ObjectDeletion {
  readonly path: string;
  readonly name: string;
  readonly expectedRevision: number;
  readonly step: string;
}

export interface DeletionTools {
  readonly caller: PlatformCaller;
  /** Every object of the deleted object's kind. */
  readonly listKind: () => Promise<ObjectList>;
}

export async function deleteObject(
  deletion: ObjectDeletion,
  tools: DeletionTools,
): Promise<DeleteResult> {
  const { caller } = tools;
  const { step, path, expectedRevision } = deletion;
  let cause: unknown;
  for (let attempt = 0; attempt < WRITE_ATTEMPTS; attempt++) {
    const isRepeat = attempt > 0;
    const result = await attemptWrite({
      method: "DELETE",
      path,
      headers: { "if-match": String(expectedRevision) },
      countedAs: "writes",
    }, { caller, step, isRepeat, readAnswer });
    if (result.kind === "deleted") return result;
    if (result.kind === "conflict" && !isRepeat) return result;
    if (result.kind === "lost") cause = result.cause;
    const revision = await readDeletion(deletion, tools);
    if (revision !== undefined) return { kind: "deleted", revision };
    await caller.wait(delayAfterLoss(attempt, caller.random));
  }
  throw unsettled({ step, peer: caller.peer, cause });
}

function readAnswer(answer: CallAnswer): DeleteResult {
  return answer.status === 200
    ? { kind: "deleted", revision: parseDeleted(answer.text) }
    : { kind: "conflict", current: parseConflict(answer.text) };
}

/** The store's revision if the object is gone by then; throws if its name was written again. */
async function readDeletion(
  deletion: ObjectDeletion,
  tools: DeletionTools,
): Promise<number | undefined> {
  const { name, expectedRevision, step } = deletion;
  let list: ObjectList;
  try {
    list = await tools.listKind();
  } catch {
    return undefined;
  }
  if (list.revision <= expectedRevision) return undefined;
  const current = list.items.find((item) => item.name === name);
  if (current === undefined) return list.revision;
  if (current.revision <= expectedRevision) return undefined;
  throw unsettled({ step, peer: tools.caller.peer });
}
