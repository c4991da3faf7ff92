/**
 * Applies the events of a watch to the view: an immutable snapshot of the
 * platform's objects at one revision, which never decreases. An object with an
 * invalid value is not applied, and the last valid value under the same uid, or
 * else the substitute of its kind, stays in effect. An object that was deleted and created again has a new uid,
 * so values of the earlier object no longer apply.
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
  isViewKind,
  markOperator,
  type ObjectId,
  putObject,
  removeObject,
} from "./view_objects.ts";

type ViewStep = Step<ViewState, ViewEffect>;

export function stepView(state: ViewState, event: WatchEvent): ViewStep {
  switch (event.type) {
    case "listed":
      return applyList(state, event.list);
    case "changed":
      return applyChange(state, event.change);
    case "bookmark":
      return applyBookmark(state, event.revision);
    case "unreachable":
      return {
        state,
        effects: [{ type: "platformUnreachable", error: event.error }],
      };
  }
}

function applyList(state: ViewState, list: ObjectList): ViewStep {
  const viewRevision = state.view?.revision ?? 0;
  if (list.revision < viewRevision) return ignoreOlder(state, list.revision);
  const accepted = list.items
    .filter(({ kind }) => isViewKind(kind))
    .map((object) => parse(state, object));
  const objects = accepted.flatMap(({ object }) => object ?? []);
  const view = accepted.reduce(
    (marked, { id, object }) =>
      markOperator(marked, id, { isInvalid: object === undefined }),
    createView(list.revision, objects),
  );
  return changeView(state, view, accepted.flatMap(({ effects }) => effects));
}

function applyChange(state: ViewState, change: ObjectChange): ViewStep {
  const { revision } = change.type === "put" ? change.object : change;
  if (state.view === undefined || revision <= state.view.revision) {
    return ignoreOlder(state, revision);
  }
  const view = { ...state.view, revision };
  if (change.type === "delete") return applyDeletion(state, { view, change });
  if (!isViewKind(change.object.kind)) return confirmView(state, view);
  const { object, effects } = parse(state, change.object);
  const changed = object === undefined
    ? removeObject(view, change.object)
    : putObject(view, object);
  const isInvalid = object === undefined;
  const marked = markOperator(changed, change.object, { isInvalid });
  return changeView(state, marked, effects);
}

function applyDeletion(
  state: ViewState,
  deletion: { readonly view: View; readonly change: ObjectId },
): ViewStep {
  const { change } = deletion;
  const view = markOperator(deletion.view, change, { isInvalid: false });
  if (findObject(view, change) === undefined) return confirmView(state, view);
  return changeView(state, removeObject(view, change), []);
}

function applyBookmark(state: ViewState, revision: number): ViewStep {
  if (state.view === undefined || revision < state.view.revision) {
    return ignoreOlder(state, revision);
  }
  return confirmView(state, { ...state.view, revision });
}

interface ParseOutcome {
  readonly id: ObjectId;
  /** Object to keep in the view under this name; `undefined` for none. */
  readonly object: StoredObject | undefined;
  readonly effects: readonly ViewEffect[];
}

function parse(state: ViewState, object: StoredObject): ParseOutcome {
  const parsed = state.parseObject(object);
  if (parsed.kind === "ok") {
    return {
      id: object,
      object: { ...object, value: parsed.value },
      effects: [],
    };
  }
  const { kind, name, revision } = object;
  const { problems, substitute } = parsed;
  const previous = findObject(state.view, object);
  const substituted = substitute === undefined
    ? undefined
    : { ...object, value: substitute };
  return {
    id: object,
    object: previous?.uid === object.uid ? previous : substituted,
    effects: [{ type: "objectRefused", kind, name, revision, problems }],
  };
}

function changeView(
  state: ViewState,
  view: View,
  effects: readonly ViewEffect[],
): ViewStep {
  return {
    state: { ...state, view },
    effects: [...effects, { type: "viewChanged", view }],
  };
}

function confirmView(state: ViewState, view: View): ViewStep {
  return {
    state: { ...state, view },
    effects: [{ type: "viewConfirmed", view }],
  };
}

function ignoreOlder(state: ViewState, revision: number): ViewStep {
  const viewRevision = state.view?.revision ?? 0;
  return {
    state,
    effects: [{ type: "olderStateIgnored", revision, viewRevision }],
  };
}
