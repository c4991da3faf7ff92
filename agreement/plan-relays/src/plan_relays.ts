/**
 * Decides by which agents the coordinator of a large group passes its calls on.
 *
 * Load pattern: a switch calls every rank several times. By itself the
 * coordinator of 72 ranks needs some 0.2 s for one call to each, on a part of a
 * core and a narrow link; with relays, the calls of a round take two short
 * steps. Agents that failed lately are called without a relay, so that their
 * silence holds up nobody else, and do not relay.
 */

/** The calls of so many ranks take no longer than those by relays. */
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
    /** With the relay itself. */
    readonly members: readonly Link[];
  }[];
}

/** Members and their relay are in one data centre: bytes between them cost. */
export function planRelays<Link>(
  candidates: readonly RelayCandidate<Link>[],
): RelayPlan<Link> {
  if (candidates.length <= MAX_DIRECT_RANKS) {
    return { direct: candidates.map(({ link }) => link), relayed: [] };
  }
  const unsound = candidates.filter(({ isResponsive }) => !isResponsive);
  const sound = candidates.filter(({ isResponsive }) => isResponsive);
  const size = Math.ceil(Math.sqrt(candidates.length));
  const relayed = [...groupByDataCentre(sound).values()]
    .flatMap((links) => splitIntoChunks(links, size))
    .flatMap((members) => {
      const [relay] = members;
      return relay === undefined ? [] : [{ relay, members }];
    });
  return { direct: unsound.map(({ link }) => link), relayed };
}

/** Calls that the coordinator of a group has under way at a time, at most. */
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

/** Into as few parts of at most `size` as there can be, about equally long. */
function splitIntoChunks<Link>(
  links: readonly Link[],
  size: number,
): readonly (readonly Link[])[] {
  const count = Math.ceil(links.length / size);
  return Array.from({ length: count }, (_, part) =>
    links.slice(
      Math.floor(part * links.length / count),
      Math.floor((part + 1) * links.length / count),
    ));
}
