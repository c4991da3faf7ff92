/** Matching of requests to routes, services and organisations. */

export {
  chooseService,
  createRouteTable,
  findKeyHolder,
  matchRoute,
} from "./match_route.ts";
export type { RouteMatch, RouteTable } from "./match_route.ts";
