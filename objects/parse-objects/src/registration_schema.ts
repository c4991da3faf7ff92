/**
 * Schemas of the objects by which processes register themselves, closings of
 * incarnations and planned stops. Unknown fields of registrations and closings
 * are dropped and not rejected: during a rolling upgrade, processes of two
 * versions read each other's objects.
 */

import * as v from "valibot";
import {
  integerBetween,
  nameField,
  textField,
  urlField,
} from "@dandelionbank/schemas";

const MAX_GROUP_SIZE = 65_536;

const PLACE_SCHEMA = v.pipe(
  v.object({
    group: nameField(),
    rank: integerBetween({ min: 0, max: MAX_GROUP_SIZE - 1 }),
    groupSize: integerBetween({ min: 1, max: MAX_GROUP_SIZE }),
  }, "an object with group, rank and groupSize"),
  v.check(
    (place) => place.rank < place.groupSize,
    "a rank below the group's size",
  ),
);

const TARGET_SCHEMA = v.pipe(
  v.object({
    name: nameField(),
    kind: v.picklist(["rank", "engine", "plain"], "rank, engine or plain"),
    pool: nameField(),
    dataCentre: nameField(),
    place: v.optional(PLACE_SCHEMA),
  }, "a target object"),
  v.check(
    (target) => (target.kind === "rank") === (target.place !== undefined),
    "a place for a rank, and for nothing else",
  ),
);

export const ENTRY_REGISTRATION_SCHEMA = v.object({
  name: nameField(),
  incarnation: textField(128),
  callerUrl: urlField(),
  peerUrl: urlField(),
  dataCentre: nameField(),
}, "an entry's registration");

export const AGENT_REGISTRATION_SCHEMA = v.object({
  target: TARGET_SCHEMA,
  incarnation: textField(128),
  peerUrl: urlField(),
}, "an agent's registration");

export const INCARNATION_CLOSING_SCHEMA = v.object({
  entry: nameField(),
  incarnation: textField(128),
  successor: textField(128),
}, "the closing of an incarnation");

export const PLANNED_STOP_SCHEMA = v.strictObject({
  target: nameField(),
  reason: textField(1_024),
  requestedBy: nameField(),
}, "a planned stop");
