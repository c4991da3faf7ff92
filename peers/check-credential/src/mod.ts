/** Finds the organisation or operator that owns a key, by the key's digest. */

export {
  findOperatorByKey,
  findOrganisationByKey,
  type KeyHolder,
} from "./find_holder.ts";
export { digestKey, isSameSecret, matchesDigest } from "./key_digest.ts";
export { readBearerKey } from "./read_bearer_key.ts";
