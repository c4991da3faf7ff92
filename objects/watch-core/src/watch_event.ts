/** What a watch of the platform's objects tells its user. */

import type { ObjectChange, ObjectList } from "@dandelionbank/types";

export type WatchEvent =
  /** Every object at one revision; it stands in place of all that came before. */
  | { readonly type: "listed"; readonly list: ObjectList }
  | { readonly type: "changed"; readonly change: ObjectChange }
  /** Every change up to this revision has been delivered. */
  | { readonly type: "bookmark"; readonly revision: number }
  /** The platform gave no usable answer; the watch goes on trying. */
  | { readonly type: "unreachable"; readonly error: Error };
