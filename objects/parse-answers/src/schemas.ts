/** Schemas of the platform's answers. Unknown fields are dropped. */

import * as v from "valibot";
import { limitNesting } from "./limit_nesting.ts";

const REVISION = v.pipe(
  v.number("a whole number"),
  v.safeInteger("a whole number"),
  v.minValue(0, "a number from 0"),
);
const TEXT = v.string("a text");

export const OBJECT_SCHEMA = v.object({
  kind: TEXT,
  name: TEXT,
  uid: TEXT,
  revision: REVISION,
  changeId: TEXT,
  value: v.pipe(v.unknown(), v.transform(limitNesting)),
}, "a stored object");

export const LIST_SCHEMA = v.object({
  items: v.array(OBJECT_SCHEMA, "a list of objects"),
  revision: REVISION,
}, "a list at a revision");

export const CONFLICT_SCHEMA = v.object({
  current: v.nullable(OBJECT_SCHEMA),
}, "the current object or null");

export const DELETED_SCHEMA = v.object({
  revision: REVISION,
}, "the store's revision");

export const WATCH_LINE_SCHEMA = v.variant("type", [
  v.object({ type: v.literal("put"), object: OBJECT_SCHEMA }),
  v.object({
    type: v.literal("delete"),
    kind: TEXT,
    name: TEXT,
    uid: TEXT,
    revision: REVISION,
  }),
  v.object({ type: v.literal("bookmark"), revision: REVISION }),
], "a change or a bookmark");

const VM_SCHEMA = v.object({
  name: TEXT,
  address: TEXT,
  dataCentre: TEXT,
  state: v.picklist(["live", "leaving"], "live or leaving"),
}, "a virtual machine");

export const VM_LIST_SCHEMA = v.object({
  vms: v.array(VM_SCHEMA, "a list of virtual machines"),
}, "an object with vms");
