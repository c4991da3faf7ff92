/** Events that a watch of the platform's objects emits. */

import type { ObjectChange, ObjectList } from "@dandelionbank/types";

export type WatchEvent =
  /** All objects at one revision; replaces everything delivered before. */
  | { readonly type: "listed"; readonly list: ObjectList }
  | { readonly type: "changed"; readonly change: ObjectChange }
  /** Every change up to this revision has been delivered. */
  | { readonly type: "bookmark"; readonly revision: number }
  /** The platform gave no valid answer; the watch keeps retrying. */
  | { readonly type: "unreachable"; readonly error: Error };
