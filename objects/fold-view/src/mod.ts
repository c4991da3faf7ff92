/** Applies the events of a watch to a view of the platform's objects. */

export { stepView } from "./step_view.ts";
export { createViewState } from "./view_state.ts";
export type {
  ParsedObject,
  ParseObject,
  ViewEffect,
  ViewState,
} from "./view_state.ts";
