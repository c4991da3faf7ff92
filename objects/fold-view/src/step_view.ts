/**
 * Folds the events of the watch into a view. The view's revision never goes
 * down. A malformed object is kept out, and the last good value under the same
 * uid stays in force; an object that was deleted and made again has another
 * uid and inherits nothing.
 */

import type {
  ObjectChange,
  ObjectList,
  Step,
  StoredObject,
  View,
} from "@dandelionbank/types";
import type { WatchEvent } from "@dandelionbank/watch-core";
import type { ViewEffect, ViewState } from "./view_state.ts";
import {
  createView,
  findObject,
  isInView,
  type ObjectId,
  putObject,
  removeObject,
} from "./view_objects.ts";

type ViewStep = Step<ViewState, ViewEffect>;

export function stepView(state: ViewState, event: WatchEvent): ViewStep {
  switch (event.type) {
    case "listed":
      return takeList(state, event.list);
    case "changed":
      return takeChange(state, event.change);
    case "bookmark":
      return takeBookmark(state, event.revision);
    case "unreachable":
      return {
        state,
        effects: [{ type: "platformUnreachable", error: event.error }],
      };
  }
}

function takeList(state: ViewState, list: ObjectList): ViewStep {
  const viewRevision = state.view?.revision ?? 0;
  if (list.revision < viewRevision) return ignore(state, list.revision);
  const accepted = list.items
    .filter(({ kind }) => isInView(kind))
    .map((object) => accept(state, object));
  const objects = accepted.flatMap(({ object }) => object ?? []);
  const view = createView(list.revision, objects);
  return show(state, view, accepted.flatMap(({ effects }) => effects));
}

function takeChange(state: ViewState, change: ObjectChange): ViewStep {
  const { revision } = change.type === "put" ? change.object : change;
  if (state.view === undefined || revision <= state.view.revision) {
    return ignore(state, revision);
  }
  const view = { ...state.view, revision };
  if (change.type === "delete") return takeDeletion(state, { view, change });
  if (!isInView(change.object.kind)) return confirm(state, view);
  const { object, effects } = accept(state, change.object);
  const changed = object === undefined
    ? removeObject(view, change.object)
    : putObject(view, object);
  return show(state, changed, effects);
}

function takeDeletion(
  state: ViewState,
  deletion: { readonly view: View; readonly change: ObjectId },
): ViewStep {
  const { view, change } = deletion;
  if (findObject(view, change) === undefined) return confirm(state, view);
  return show(state, removeObject(view, change), []);
}

function takeBookmark(state: ViewState, revision: number): ViewStep {
  if (state.view === undefined || revision < state.view.revision) {
    return ignore(state, revision);
  }
  return confirm(state, { ...state.view, revision });
}

interface Accepted {
  /** What is in force under the object's name from now on. */
  readonly object: StoredObject | undefined;
  readonly effects: readonly ViewEffect[];
}

function accept(state: ViewState, object: StoredObject): Accepted {
  const parsed = state.parseObject(object);
  if (parsed.kind === "ok") {
    return {
      object: { ...object, value: parsed.value },
      effects: [],
    };
  }
  const { kind, name, revision } = object;
  const { problems } = parsed;
  const known = findObject(state.view, object);
  return {
    object: known?.uid === object.uid ? known : undefined,
    effects: [{ type: "objectRefused", kind, name, revision, problems }],
  };
}

function show(
  state: ViewState,
  view: View,
  effects: readonly ViewEffect[],
): ViewStep {
  return {
    state: { ...state, view },
    effects: [...effects, { type: "viewChanged", view }],
  };
}

function confirm(state: ViewState, view: View): ViewStep {
  return {
    state: { ...state, view },
    effects: [{ type: "viewConfirmed", view }],
  };
}

function ignore(state: ViewState, revision: number): ViewStep {
  const viewRevision = state.view?.revision ?? 0;
  return {
    state,
    effects: [{ type: "olderStateIgnored", revision, viewRevision }],
  };
}
