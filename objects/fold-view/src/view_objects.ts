/** Reads and updates the objects of a view by kind. Updates return a new view. */

import type { ObjectKind, StoredObject, View } from "@dandelionbank/types";

type MapField = Exclude<
  keyof View,
  "revision" | "config" | "invalidOperators"
>;

/** Field of the view for each kind. Kinds without one are not part of a view. */
const FIELDS: Readonly<Partial<Record<ObjectKind, MapField>>> = {
  agent: "agents",
  closing: "closings",
  contract: "contracts",
  entry: "entries",
  operator: "operators",
  stop: "stops",
};

export interface ObjectId {
  readonly kind: ObjectKind;
  readonly name: string;
}

/** Creates a view of exactly these objects. */
export function createView(
  revision: number,
  objects: readonly StoredObject[],
): View {
  return {
    revision,
    config: objects.find(({ kind }) => kind === "config"),
    contracts: indexByName("contract", objects),
    operators: indexByName("operator", objects),
    invalidOperators: new Set(),
    stops: indexByName("stop", objects),
    agents: indexByName("agent", objects),
    entries: indexByName("entry", objects),
    closings: indexByName("closing", objects),
  } as View;
}

export function isViewKind(kind: ObjectKind): boolean {
  return kind === "config" || FIELDS[kind] !== undefined;
}

export function findObject(
  view: View | undefined,
  { kind, name }: ObjectId,
): StoredObject | undefined {
  if (kind === "config") {
    return view?.config?.name === name ? view.config : undefined;
  }
  const field = FIELDS[kind];
  return field && view?.[field].get(name);
}

export function putObject(view: View, object: StoredObject): View {
  if (object.kind === "config") return { ...view, config: object } as View;
  const field = FIELDS[object.kind];
  if (field === undefined) return view;
  const objects = new Map<string, StoredObject>(view[field]);
  return { ...view, [field]: objects.set(object.name, object) };
}

export function removeObject(view: View, id: ObjectId): View {
  if (findObject(view, id) === undefined) return view;
  if (id.kind === "config") return { ...view, config: undefined };
  const field = FIELDS[id.kind];
  if (field === undefined) return view;
  const objects = new Map<string, StoredObject>(view[field]);
  objects.delete(id.name);
  return { ...view, [field]: objects };
}

/** Adds or removes a name among those of invalid operators. */
export function markOperator(
  view: View,
  { kind, name }: ObjectId,
  { isInvalid }: { readonly isInvalid: boolean },
): View {
  const { invalidOperators } = view;
  if (kind !== "operator" || invalidOperators.has(name) === isInvalid) {
    return view;
  }
  const others = [...invalidOperators].filter((other) => other !== name);
  const names = isInvalid ? [...others, name] : others;
  return { ...view, invalidOperators: new Set(names) };
}

function indexByName(
  kind: ObjectKind,
  objects: readonly StoredObject[],
): ReadonlyMap<string, StoredObject> {
  const ofKind = objects.filter((object) => object.kind === kind);
  return new Map(ofKind.map((object) => [object.name, object]));
}
