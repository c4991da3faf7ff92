/** Kinds of objects that operators may write. */

import type { ObjectKind } from "@dandelionbank/types";

export const WRITABLE_KINDS = [
  "contract",
  "config",
  "stop",
  "operator",
] as const satisfies readonly ObjectKind[];

export type WritableKind = typeof WRITABLE_KINDS[number];

/** All of them but the configuration, which can be changed but not deleted. */
export const DELETABLE_KINDS = [
  "contract",
  "stop",
  "operator",
] as const satisfies readonly WritableKind[];
