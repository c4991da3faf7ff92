/** The kinds of object that operators write. */

import type { ObjectKind } from "@dandelionbank/types";

export const WRITABLE_KINDS = [
  "contract",
  "config",
  "stop",
  "operator",
] as const satisfies readonly ObjectKind[];

export type WritableKind = typeof WRITABLE_KINDS[number];

/** The configuration can be changed but not removed. */
export const DELETABLE_KINDS = [
  "contract",
  "stop",
  "operator",
] as const satisfies readonly WritableKind[];
