/** Renders objects, write conflicts and status reports as text. */

import {
  type ConflictReport,
  getObjectWriter,
  type WritableKind,
} from "@dandelionbank/operator-api";
import type {
  Config,
  Contract,
  EntryStatus,
  Operator,
  PlannedStop,
  StatusReport,
  StoredObject,
} from "@dandelionbank/types";
import { renderTable, type Row, sortRows } from "./render_table.ts";

/** Renders an object as `contract trust, revision 12, written by asha`. */
export function describeObject(object: StoredObject): string {
  const writer = getObjectWriter(object) ?? "another writer";
  const { kind, name, revision } = object;
  return `${kind} ${name}, revision ${revision}, written by ${writer}`;
}

type ToColumns = (value: unknown) => Row;

/** Columns of each kind in a list, in addition to name and revision. */
const COLUMNS: Readonly<Record<WritableKind, ToColumns>> = {
  contract: (value) => {
    const contract = value as Contract;
    return {
      "requests/s": contract.requestsPerSecond,
      concurrent: contract.concurrentRequests,
      "tokens/min": contract.tokensPerMinute,
      priority: contract.priority,
      keys: contract.keyDigests.length,
    };
  },
  config: (value) => {
    const config = value as Config;
    const pools = config.pools.map((pool) => pool.name).join(", ");
    return { pools, placement: config.placement };
  },
  operator: (value) => ({ keys: (value as Operator).keyDigests.length }),
  stop: (value) => {
    const { requestedBy, reason } = value as PlannedStop;
    return { "requested by": requestedBy, reason };
  },
};

export function renderObjectTable(
  kind: WritableKind,
  objects: readonly StoredObject[],
): string {
  const rows = objects.map((object) => ({
    name: object.name,
    revision: object.revision,
    ...COLUMNS[kind](object.value),
  }));
  return renderTable(sortRows(rows, "name"));
}

/** Renders both sides of a write conflict, one below the other. */
export function describeConflict(conflict: ConflictReport): readonly string[] {
  const { yours, current, error } = conflict;
  const from = yours.expectedRevision === undefined
    ? "to create an object"
    : `from revision ${yours.expectedRevision}`;
  return [
    error.message,
    `Yours, ${from}:`,
    "value" in yours ? renderValue(yours.value) : "  (delete)",
    current ? `Current, ${describeObject(current)}:` : "Current:",
    current ? renderValue(current.value) : "  (no such object)",
    error.hint,
  ];
}

export function describeStatus(status: StatusReport): string {
  const { entry, outcomes, notReadyReasons } = status;
  const config = status.configRevision ?? "none";
  const reasons = notReadyReasons.join("; ");
  return [
    `Entry ${entry.name} in ${entry.dataCentre}, version ${status.version}`,
    `Ready: ${status.isReady ? "yes" : `no, ${reasons}`}`,
    `Platform: ${status.isPlatformReachable ? "answers" : "does not answer"}`,
    `View: revision ${status.viewRevision}; config: revision ${config}`,
    `Outcomes: ${
      Object.entries(outcomes).map((pair) => pair.join(" ")).join(", ")
    }`,
    "",
    renderTable(sortRows(status.entries.map(toEntryRow), "entry")),
    "",
    renderTable(sortRows(status.targets.map(toTargetRow), "target")),
  ].join("\n");
}

function toEntryRow({ name, dataCentre, callerUrl }: EntryStatus): Row {
  return { entry: name, "data centre": dataCentre, url: callerUrl };
}

function toTargetRow(
  { target, state, load }: StatusReport["targets"][number],
): Row {
  const { place } = target;
  return {
    target: target.name,
    kind: target.kind,
    pool: target.pool,
    group: place ? `${place.group} ${place.rank}/${place.groupSize}` : "",
    "data centre": target.dataCentre,
    state,
    "in flight": load?.inFlight ?? "",
    queued: load?.queued ?? "",
  };
}

function renderValue(value: unknown): string {
  return JSON.stringify(value, null, 2).replace(/^/gm, "  ");
}
