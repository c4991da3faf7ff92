/**
 * Turns the platform's answers into their types. Objects of kinds that this
 * version doesn't know are left out, since a newer version may write them.
 */

import type {
  ObjectChange,
  ObjectKind,
  ObjectList,
  StoredObject,
  VmListing,
} from "@dandelionbank/types";
import { parseJson } from "./parse_json.ts";
import {
  CONFLICT_SCHEMA,
  DELETED_SCHEMA,
  LIST_SCHEMA,
  OBJECT_SCHEMA,
  VM_LIST_SCHEMA,
  WATCH_LINE_SCHEMA,
} from "./schemas.ts";

const KINDS: Readonly<Record<ObjectKind, true>> = {
  agent: true,
  closing: true,
  config: true,
  contract: true,
  duty: true,
  entry: true,
  group: true,
  operator: true,
  stop: true,
};

/** One line of a watch: a change, or the store's revision without one. */
export type WatchLine =
  | { readonly type: "change"; readonly change: ObjectChange }
  | { readonly type: "bookmark"; readonly revision: number };

export function parseStoredObject(text: string): StoredObject {
  return parseJson(text, OBJECT_SCHEMA) as StoredObject;
}

export function parseObjectList(text: string): ObjectList {
  const { items, revision } = parseJson(text, LIST_SCHEMA);
  return { items: items.filter(isKnown), revision };
}

/** The object that a conditional write met, if there was one. */
export function parseConflict(text: string): StoredObject | undefined {
  const { current } = parseJson(text, CONFLICT_SCHEMA);
  return current === null ? undefined : current as StoredObject;
}

/** The store's revision after a deletion. */
export function parseDeleted(text: string): number {
  return parseJson(text, DELETED_SCHEMA).revision;
}

export function parseVmList(text: string): readonly VmListing[] {
  return parseJson(text, VM_LIST_SCHEMA).vms;
}

export function parseWatchLine(text: string): WatchLine {
  const line = parseJson(text, WATCH_LINE_SCHEMA);
  if (line.type === "bookmark") return line;
  const object = line.type === "put" ? line.object : line;
  if (isKnown(object)) {
    return { type: "change", change: line as ObjectChange };
  }
  return { type: "bookmark", revision: object.revision };
}

function isKnown<Item extends { readonly kind: string }>(
  item: Item,
): item is Item & StoredObject {
  return Object.hasOwn(KINDS, item.kind);
}
