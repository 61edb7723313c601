/** Links to the hub of the own group, or, for a hub, to the hubs of the other groups. */
import type { ExchangePlan, RouterInfo } from '@kingcupsill/core/direct';
import { createPreferredLink } from './preferred-link.js';
import type { PreferredLink } from './preferred-link.js';
import { LinkRole } from './types.js';
import type { LinkContext, LinkListener } from './types.js';

/** Dialled links of one router. */
export interface GroupLinks {
  setPlan(plan: ExchangePlan): void;
  /** Returns whether this router is the hub of its group: it reaches none that is preferred. */
  isHub(): boolean;
  /** Returns whether this router watches the store for others. */
  watchesStore(): boolean;
  /** Checks the connections, and dials what is due. */
  check(): void;
  close(): void;
}

/** Creates links without a plan. */
export function createGroupLinks(
  ctx: LinkContext,
  hubListener: LinkListener,
  otherHubListener: LinkListener,
): GroupLinks {
  const hub = createPreferredLink(ctx, LinkRole.Member, hubListener, updateRole);
  const otherHubs = new Map<string, PreferredLink>();
  let otherGroups: ReadonlyMap<string, RouterInfo[]> = new Map();
  let isWatchingGroup = false;

  function isHub(): boolean {
    return !hub.mayConnect();
  }

  function getOtherHub(group: string): PreferredLink {
    const known = otherHubs.get(group);
    if (known !== undefined) return known;
    const link = createPreferredLink(ctx, LinkRole.Hub, otherHubListener, () => undefined);
    otherHubs.set(group, link);
    return link;
  }

  function updateRole(): void {
    const wanted = isHub() ? otherGroups : new Map<string, RouterInfo[]>();
    otherHubs.forEach((link, group) => {
      if (wanted.has(group)) return;
      link.close();
      otherHubs.delete(group);
    });
    wanted.forEach((candidates, group) => getOtherHub(group).setCandidates(candidates));
  }

  return {
    setPlan(plan) {
      otherGroups = plan.otherGroups;
      isWatchingGroup = plan.watchesStore;
      hub.setCandidates(plan.hubCandidates);
      updateRole();
    },
    isHub,
    watchesStore: () => isWatchingGroup && isHub(),
    check() {
      hub.check();
      updateRole();
      otherHubs.forEach((link) => link.check());
    },
    close() {
      hub.close();
      otherHubs.forEach((link) => link.close());
    },
  };
}
