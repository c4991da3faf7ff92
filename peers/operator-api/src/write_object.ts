/** Conditional writes and deletions on behalf of an operator. */

import type { View } from "@dandelionbank/types";
import { isDeepStrictEqual } from "node:util";
import { createCallError, translateStoreError } from "./call_error.ts";
import { checkValue, type ProposedValue } from "./check_value.ts";
import type { WritableKind } from "./writable_kinds.ts";
import type { OperatorApiOptions } from "./options.ts";
import {
  createChangeId,
  createConflict,
  type DeleteReport,
  type SetReport,
} from "./write_reports.ts";

export interface SetCall {
  readonly operator: string;
  readonly proposed: ProposedValue;
  readonly expectedRevision: number | undefined;
  /** Identifies the write; all its retries use the same. */
  readonly changeId: string;
  readonly view: View;
}

export async function setObject(
  call: SetCall,
  { store, logger }: OperatorApiOptions,
): Promise<SetReport> {
  const { operator, expectedRevision, view } = call;
  const { kind, name } = call.proposed;
  const proposed = withRequester(call.proposed, operator);
  const checked = checkValue(proposed, view);
  if (checked.kind === "invalid") throw valueError(kind, checked.problems);
  const { value, warnings } = checked;
  const changeId = createChangeId(operator, call.changeId);
  const result = await store
    .put({ kind, name }, value, { expectedRevision, changeId })
    .catch(throwCallError);
  const stored = result.kind === "written" ? result.object : result.current;
  // A retry, also through another entry, may conflict with the effect of its own
  // first attempt, which counts as success.
  const isOwnWrite = stored?.changeId === changeId;
  if (isOwnWrite && isDeepStrictEqual(stored.value, value)) {
    const { revision } = stored;
    logger.log("operatorWrote", { operator, kind, name, revision });
    return { kind: "written", object: stored, warnings };
  }
  logger.log("operatorConflict", { operator, kind, name });
  const yours = { value, ...toOptionalRevision(expectedRevision) };
  return createConflict({ yours, current: stored });
}

export interface DeleteCall {
  readonly operator: string;
  readonly kind: WritableKind;
  readonly name: string;
  readonly expectedRevision: number;
}

export async function deleteObject(
  { operator, kind, name, expectedRevision }: DeleteCall,
  { store, logger }: OperatorApiOptions,
): Promise<DeleteReport> {
  const result = await store
    .delete({ kind, name }, expectedRevision)
    .catch(throwCallError);
  if (result.kind === "deleted") {
    logger.log("operatorDeleted", { operator, kind, name });
    return result;
  }
  logger.log("operatorConflict", { operator, kind, name });
  return createConflict({
    yours: { expectedRevision },
    current: result.current,
  });
}

/** Records the calling operator in a stop, whoever the value names. */
function withRequester(proposed: ProposedValue, operator: string) {
  const { kind, value } = proposed;
  const isObject = typeof value === "object" && value !== null &&
    !Array.isArray(value);
  if (kind !== "stop" || !isObject) return proposed;
  return { ...proposed, value: { ...value, requestedBy: operator } };
}

function toOptionalRevision(expectedRevision: number | undefined) {
  return expectedRevision === undefined ? {} : { expectedRevision };
}

function valueError(kind: string, problems: readonly string[]): Error {
  return createCallError("BAD_REQUEST", {
    code: "DANDELIONBANK_INVALID_VALUE",
    message: `The ${kind} does not parse`,
    hint: "Mend each of the problems and write again",
    outcome: "notRun",
    problems,
  });
}

function throwCallError(error: unknown): never {
  throw translateStoreError(error);
}
