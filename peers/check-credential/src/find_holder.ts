/**
 * Finds the holder of a key in a view. The digests of a set of holders are
 * indexed once; a view is immutable, so its map of objects identifies the set.
 */

import type {
  Contract,
  Operator,
  StoredObject,
  View,
} from "@dandelionbank/types";
import { digestKey, matchesDigest } from "./key_digest.ts";

export interface KeyHolder {
  readonly keyDigests: readonly string[];
}

type Holders<Value> = ReadonlyMap<string, StoredObject<Value>>;
/** Holds `undefined` for a digest that several holders have. */
type DigestIndex = ReadonlyMap<string, StoredObject<KeyHolder> | undefined>;

const INDEXES = new WeakMap<Holders<KeyHolder>, DigestIndex>();

export function findOrganisationByKey(
  view: View,
  key: string,
): StoredObject<Contract> | undefined {
  return findHolder(view.contracts, key);
}

export function findOperatorByKey(
  view: View,
  key: string,
): StoredObject<Operator> | undefined {
  return findHolder(view.operators, key);
}

/** The time taken depends neither on the number of holders nor on who it is. */
function findHolder<Value extends KeyHolder>(
  holders: Holders<Value>,
  key: string,
): StoredObject<Value> | undefined {
  const found = indexOf(holders).get(digestKey(key));
  const digests = found?.value.keyDigests ?? [];
  const matches = digests.filter((digest) => matchesDigest(key, digest));
  if (found === undefined || matches.length === 0) return undefined;
  return holders.get(found.name);
}

function indexOf(holders: Holders<KeyHolder>): DigestIndex {
  const known = INDEXES.get(holders);
  if (known !== undefined) return known;
  const index = createIndex(holders);
  INDEXES.set(holders, index);
  return index;
}

function createIndex(holders: Holders<KeyHolder>): DigestIndex {
  const index = new Map<string, StoredObject<KeyHolder> | undefined>();
  for (const holder of holders.values()) {
    for (const digest of holder.value.keyDigests) {
      index.set(digest, index.has(digest) ? undefined : holder);
    }
  }
  return index;
}
