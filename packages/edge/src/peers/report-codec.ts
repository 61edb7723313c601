/** Wire form of reports: lists in a fixed order, since they are sent often. */
import type { ReportedLoad, RouterReport } from '@kingcupsill/core/direct';
import { Packr } from 'msgpackr';

type WireLoad = [server: string, running: number, sentTokens: number, parts: [string, number][]];
type WireReport = [router: string, loads: WireLoad[], accounts: RouterReport['accounts']];

/** Packs and unpacks reports. Unpacking throws on bytes that are no report. */
export interface ReportCodec {
  encode(report: RouterReport): Buffer;
  decode(bytes: Buffer): RouterReport;
}

function toWire({ server, running, sentTokens, parts }: ReportedLoad): WireLoad {
  return [server, running, sentTokens, parts];
}

function fromWire([server, running, sentTokens, parts]: WireLoad): ReportedLoad {
  return { server, running, sentTokens, parts };
}

/** Creates a codec. */
export function createReportCodec(): ReportCodec {
  const packr = new Packr({ useRecords: false });
  return {
    encode({ router, loads, accounts }) {
      const wire: WireReport = [router, loads.map(toWire), accounts];
      return packr.pack(wire);
    },
    decode(bytes) {
      const [router, loads, accounts] = packr.unpack(bytes) as WireReport;
      return { router, loads: loads.map(fromWire), accounts };
    },
  };
}
