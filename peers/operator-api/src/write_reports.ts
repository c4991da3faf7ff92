/** Results of an operator's write: it took effect, or it met a conflict. */

import type { ErrorBody, StoredObject } from "@dandelionbank/types";

export interface WrittenReport {
  readonly kind: "written";
  readonly object: StoredObject;
  /** Possible mistakes that did not prevent the write. */
  readonly warnings: readonly string[];
}

/** The operator's write, which took no effect, and the object that it met. */
export interface ConflictReport {
  readonly kind: "conflict";
  readonly yours: {
    /** Absent for the creation of an object. */
    readonly expectedRevision?: number;
    /** Absent for a deletion. */
    readonly value?: unknown;
  };
  /** Absent if the object does not exist. */
  readonly current?: StoredObject;
  /** Operator or process that wrote the current object, if known. */
  readonly currentWriter?: string;
  readonly error: ErrorBody["error"];
}

export interface DeletedReport {
  readonly kind: "deleted";
  readonly revision: number;
}

export type SetReport = WrittenReport | ConflictReport;
export type DeleteReport = DeletedReport | ConflictReport;

/** Prefixes the change id of an operator's write with the operator's name. */
export function createChangeId(operator: string, id: string): string {
  return `${operator}/${id}`;
}

/** Returns the operator whose name the object's change id carries, if any. */
export function getObjectWriter(object: StoredObject): string | undefined {
  const parts = object.changeId.split("/");
  return parts.length === 2 ? parts[0] : undefined;
}

export interface ConflictDetails {
  readonly yours: ConflictReport["yours"];
  readonly current: StoredObject | undefined;
}

export function createConflict(
  { yours, current }: ConflictDetails,
): ConflictReport {
  const writer = current && getObjectWriter(current);
  return {
    kind: "conflict",
    yours,
    ...(current && { current }),
    ...(writer !== undefined && { currentWriter: writer }),
    error: {
      code: "DANDELIONBANK_STALE_REVISION",
      message: "The object is not at the revision that was read",
      hint: "Compare both sides, then write again from the current revision",
      outcome: "notRun",
    },
  };
}
