/** Renders objects, write conflicts and status reports as text. */

import {
  type ConflictReport,
  getObjectWriter,
  type WritableKind,
} from "@dandelionbank/operator-api";
import { parseValue, type ValueByKind } from "@dandelionbank/parse-objects";
import type {
  EntryStatus,
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

type ToColumns<Value> = (value: Value) => Row;

/** Columns of each kind in a list, in addition to name and revision. */
const COLUMNS: {
  readonly [Kind in WritableKind]: ToColumns<ValueByKind[Kind]>;
} = {
  contract: (contract) => ({
    "requests/s": contract.requestsPerSecond,
    concurrent: contract.concurrentRequests,
    "tokens/min": contract.tokensPerMinute,
    priority: contract.priority,
    keys: contract.keyDigests.length,
  }),
  config: ({ pools, placement }) => ({
    pools: pools.map((pool) => pool.name).join(", "),
    placement,
  }),
  operator: ({ keyDigests }) => ({ keys: keyDigests.length }),
  stop: ({ requestedBy, reason }) => ({ "requested by": requestedBy, reason }),
};

/** Lists malformed objects, which are not in force, in a table of their own. */
export function renderObjectTable(
  kind: WritableKind,
  objects: readonly StoredObject[],
): string {
  const rows = objects.map((object) => createRow(kind, object));
  const renderRows = (isMalformed: boolean) => {
    const shown = rows.filter((row) => row.isMalformed === isMalformed);
    return renderTable(sortRows(shown.map(({ columns }) => columns), "name"));
  };
  const table = renderRows(false);
  if (!rows.some(({ isMalformed }) => isMalformed)) return table;
  return `${table}\n\nMalformed and not in force:\n${renderRows(true)}`;
}

interface ObjectRow {
  readonly isMalformed: boolean;
  readonly columns: Row;
}

function createRow<Kind extends WritableKind>(
  kind: Kind,
  { name, revision, value }: StoredObject,
): ObjectRow {
  const parsed = parseValue(kind, value);
  if (parsed.kind === "invalid") {
    const problems = parsed.problems.join("; ");
    return { isMalformed: true, columns: { name, revision, problems } };
  }
  const columns = COLUMNS[kind](parsed.value);
  return { isMalformed: false, columns: { name, revision, ...columns } };
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
