/** What an operator is told of a write: it took effect, or met another's. */

import type { ErrorBody, StoredObject } from "@dandelionbank/types";

export interface WrittenReport {
  readonly kind: "written";
  readonly object: StoredObject;
  /** What the operator may want to look at. */
  readonly warnings: readonly string[];
}

/** Both sides of a lost race. Nothing of the operator's took effect. */
export interface ConflictReport {
  readonly kind: "conflict";
  readonly yours: {
    /** Absent if a new object was to be made. */
    readonly expectedRevision?: number;
    /** Absent if the object was to be deleted. */
    readonly value?: unknown;
  };
  /** Absent if there is no such object now. */
  readonly current?: StoredObject;
  /** Operator or process that wrote the current one, if that is known. */
  readonly currentWriter?: string;
  readonly error: ErrorBody["error"];
}

export interface DeletedReport {
  readonly kind: "deleted";
  readonly revision: number;
}

export type SetReport = WrittenReport | ConflictReport;
export type DeleteReport = DeletedReport | ConflictReport;

/** The change id of an operator's write begins with the operator's name. */
export function createChangeId(operator: string, id: string): string {
  return `${operator}/${id}`;
}

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
