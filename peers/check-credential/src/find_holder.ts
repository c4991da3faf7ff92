/**
 * Finds the organisation or operator that owns a key, in a view of the
 * platform's objects. The digests of a set of holders are indexed once. Views
 * are immutable, so the identity of a view's map serves as the key of the cache.
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
/** Maps a digest to its holder, or to `undefined` if several holders share it. */
type DigestIndex = ReadonlyMap<string, StoredObject<KeyHolder> | undefined>;

const INDEX_CACHE = new WeakMap<Holders<KeyHolder>, DigestIndex>();

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

/**
 * Looks up a key's holder in a time that depends neither on the number of holders
 * nor on which of them it is.
 */
function findHolder<Value extends KeyHolder>(
  holders: Holders<Value>,
  key: string,
): StoredObject<Value> | undefined {
  const candidate = getIndex(holders).get(digestKey(key));
  const digests = candidate?.value.keyDigests ?? [];
  const matches = digests.filter((digest) => matchesDigest(key, digest));
  if (candidate === undefined || matches.length === 0) return undefined;
  return holders.get(candidate.name);
}

function getIndex(holders: Holders<KeyHolder>): DigestIndex {
  const cached = INDEX_CACHE.get(holders);
  if (cached !== undefined) return cached;
  const index = createIndex(holders);
  INDEX_CACHE.set(holders, index);
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
