/**
 * A conditional write that is followed until it is known to have taken effect
 * or not. Its change id tells its own effect from another's write, so sending
 * it again is safe and meeting its own effect as a conflict is success.
 */

import { parseConflict, parseStoredObject } from "@dandelionbank/parse-answers";
import type {
  StoredObject,
  WriteOptions,
  WriteResult,
} from "@dandelionbank/types";
import type { CallAnswer } from "./answer_buffer.ts";
import { attemptWrite, WRITE_ATTEMPTS } from "./attempt_write.ts";
import type { PlatformCall, PlatformCaller } from "./platform_caller.ts";
import { unsettled } from "./platform_errors.ts";
import { delayAfterLoss } from "./retry_delay.ts";
import { settleWrite } from "./settle_write.ts";

export interface ObjectWrite extends WriteOptions {
  readonly path: string;
  readonly value: unknown;
  readonly step: string;
}

export interface WriteTools {
  readonly caller: PlatformCaller;
  readonly readBack: () => Promise<StoredObject | undefined>;
}

export async function writeObject(
  write: ObjectWrite,
  tools: WriteTools,
): Promise<WriteResult> {
  const { caller } = tools;
  let cause: unknown;
  for (let attempt = 0; attempt < WRITE_ATTEMPTS; attempt++) {
    const isRepeat = attempt > 0;
    const result = await attemptWrite(callOf(write), {
      caller,
      step: write.step,
      isRepeat,
      readAnswer: (answer) => readAnswer(answer, write),
    });
    if (result.kind === "written") return result;
    if (result.kind === "conflict" && !isRepeat) return result;
    if (result.kind === "conflict") break;
    cause = result.cause;
    const object = await readEffect(write, tools);
    if (object !== undefined) return { kind: "written", object };
    await caller.wait(delayAfterLoss(attempt, caller.random));
  }
  throw unsettled({ step: write.step, peer: caller.peer, cause });
}

function callOf(write: ObjectWrite): PlatformCall {
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

function readAnswer(answer: CallAnswer, write: ObjectWrite): WriteResult {
  if (answer.status === 200) {
    return { kind: "written", object: parseStoredObject(answer.text) };
  }
  const current = parseConflict(answer.text);
  return current?.changeId === write.changeId
    ? { kind: "written", object: current }
    : { kind: "conflict", current };
}

/** The object as this write left it, if a read shows that; throws once it can no longer be told. */
async function readEffect(
  write: ObjectWrite,
  tools: WriteTools,
): Promise<StoredObject | undefined> {
  let current: StoredObject | undefined;
  try {
    current = await tools.readBack();
  } catch {
    return undefined;
  }
  const settlement = settleWrite(current, write);
  if (settlement.kind === "written") return settlement.object;
  if (settlement.kind === "sendAgain") return undefined;
  throw unsettled({ step: write.step, peer: tools.caller.peer });
}
