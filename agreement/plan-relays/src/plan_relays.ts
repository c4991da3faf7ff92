/**
 * Selects the agents that relay calls of the coordinator in a large group.
 *
 * Load pattern: a switch calls every rank several times. Without relays the
 * coordinator of 72 ranks needs about 0.2 s to call each of them once, on a part
 * of a core and a slow link; with relays, a round of calls takes two short
 * hops. Agents that did not answer their last call are called directly, so that
 * they delay no others, and never act as relays.
 */

/** Group size up to which direct calls are as fast as relayed ones. */
const MAX_DIRECT_RANKS = 16;

export interface RelayCandidate<Link> {
  readonly link: Link;
  readonly dataCentre: string;
  /** Whether its last call was answered. */
  readonly isResponsive: boolean;
}

export interface RelayPlan<Link> {
  readonly direct: readonly Link[];
  readonly relayed: readonly {
    readonly relay: Link;
    /** Includes the relay itself. */
    readonly members: readonly Link[];
  }[];
}

/**
 * Plans the calls of one round. A relay and its members are in the same data
 * centre, since traffic between data centres costs money.
 */
export function planRelays<Link>(
  candidates: readonly RelayCandidate<Link>[],
): RelayPlan<Link> {
  if (candidates.length <= MAX_DIRECT_RANKS) {
    return { direct: candidates.map(({ link }) => link), relayed: [] };
  }
  const unresponsive = candidates.filter(({ isResponsive }) => !isResponsive);
  const responsive = candidates.filter(({ isResponsive }) => isResponsive);
  const size = Math.ceil(Math.sqrt(candidates.length));
  const relayed = [...groupByDataCentre(responsive).values()]
    .flatMap((links) => splitIntoChunks(links, size))
    .flatMap((members) => {
      const [relay] = members;
      return relay === undefined ? [] : [{ relay, members }];
    });
  return { direct: unresponsive.map(({ link }) => link), relayed };
}

/** Maximum number of concurrent calls of the coordinator of a group. */
export function computeMaxConcurrentCalls(groupSize: number): number {
  if (groupSize <= MAX_DIRECT_RANKS) return groupSize;
  return MAX_DIRECT_RANKS + Math.ceil(Math.sqrt(groupSize));
}

function groupByDataCentre<Link>(
  candidates: readonly RelayCandidate<Link>[],
): ReadonlyMap<string, readonly Link[]> {
  const groups = new Map<string, Link[]>();
  for (const { link, dataCentre } of candidates) {
    const group = groups.get(dataCentre) ?? [];
    group.push(link);
    groups.set(dataCentre, group);
  }
  return groups;
}

/** Splits into the fewest chunks of at most `size`, of about equal length. */
function splitIntoChunks<Link>(
  links: readonly Link[],
  size: number,
): readonly (readonly Link[])[] {
  const count = Math.ceil(links.length / size);
  return Array.from({ length: count }, (_, index) =>
    links.slice(
      Math.floor(index * links.length / count),
      Math.floor((index + 1) * links.length / count),
    ));
}
