/**
 * Parses the platform's answers into their types. Objects of unknown kinds are
 * left out, since a newer version of the product may write them.
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

const KNOWN_KINDS: Readonly<Record<ObjectKind, true>> = {
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

/** A line of a watch: a change, or the store's revision without a change. */
export type WatchLine =
  | { readonly type: "change"; readonly change: ObjectChange }
  | { readonly type: "bookmark"; readonly revision: number };

export function parseStoredObject(text: string): StoredObject {
  return parseJson(text, OBJECT_SCHEMA) as StoredObject;
}

export function parseObjectList(text: string): ObjectList {
  const { items, revision } = parseJson(text, LIST_SCHEMA);
  return { items: items.filter(isKnownKind), revision };
}

/** Returns the object that a conditional write conflicted with, if it exists. */
export function parseConflict(text: string): StoredObject | undefined {
  const { current } = parseJson(text, CONFLICT_SCHEMA);
  return current === null ? undefined : current as StoredObject;
}

/** Returns the store's revision after a deletion. */
export function parseDeleted(text: string): number {
  return parseJson(text, DELETED_SCHEMA).revision;
}

export function parseVmList(text: string): readonly VmListing[] {
  return parseJson(text, VM_LIST_SCHEMA).vms;
}

/** Returns a change of an unknown kind as a bookmark of its revision. */
export function parseWatchLine(text: string): WatchLine {
  const line = parseJson(text, WATCH_LINE_SCHEMA);
  if (line.type === "bookmark") return line;
  const object = line.type === "put" ? line.object : line;
  if (isKnownKind(object)) {
    return { type: "change", change: line as ObjectChange };
  }
  return { type: "bookmark", revision: object.revision };
}

function isKnownKind<Item extends { readonly kind: string }>(
  item: Item,
): item is Item & StoredObject {
  return Object.hasOwn(KNOWN_KINDS, item.kind);
}
