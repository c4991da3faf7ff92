/** A model of a group of ranks. */

export { GroupModel } from "./group_model.ts";
export type { Fate } from "./group_model.ts";
