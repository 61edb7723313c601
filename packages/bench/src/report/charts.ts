/** Charts of a run as SVG. */
import { init } from 'echarts';
import type { EChartsOption } from 'echarts';
import type { RunSeries } from '../run/index.js';

const WIDTH_PX = 900;
const HEIGHT_PX = 320;

/** A chart with a title, as SVG text. */
export interface Chart {
  title: string;
  svg: string;
}

function renderSvg(option: EChartsOption): string {
  const chart = init(null, null, {
    renderer: 'svg',
    ssr: true,
    width: WIDTH_PX,
    height: HEIGHT_PX,
  });
  chart.setOption({
    animation: false,
    grid: { left: 60, right: 20, top: 20, bottom: 80 },
    ...option,
  });
  const svg = chart.renderToSVGString();
  chart.dispose();
  return svg;
}

function perSecond(values: readonly unknown[]): number[] {
  return values.map((_, second) => second);
}

function lineChart(name: string, values: readonly (number | null)[]): EChartsOption {
  return {
    xAxis: { type: 'category', data: perSecond(values), name: 's' },
    yAxis: { type: 'value' },
    series: [{ name, type: 'line', showSymbol: false, data: [...values] }],
  };
}

function serviceChart({ servicePerAccount }: RunSeries): EChartsOption {
  return {
    legend: { bottom: 0, type: 'scroll' },
    xAxis: {
      type: 'category',
      data: perSecond(servicePerAccount[0]?.slotSeconds ?? []),
      name: 's',
    },
    yAxis: { type: 'value' },
    series: servicePerAccount.map(({ account, slotSeconds }) => ({
      name: account,
      type: 'line',
      stack: 'service',
      areaStyle: {},
      showSymbol: false,
      data: slotSeconds,
    })),
  };
}

function bytesChart({ controlBytesPerNodePerSecond: samples }: RunSeries): EChartsOption {
  return {
    xAxis: { type: 'value', name: 's' },
    yAxis: { type: 'value' },
    series: [
      {
        name: 'bytes',
        type: 'line',
        showSymbol: false,
        data: samples.map(({ atSecond, value }) => [atSecond, value]),
      },
    ],
  };
}

/** Charts of one run. */
export function renderCharts(series: RunSeries): Chart[] {
  return [
    { title: 'Slot seconds per account in each second', svg: renderSvg(serviceChart(series)) },
    {
      title: 'Fairness gap in the 5 seconds before, slot seconds',
      svg: renderSvg(lineChart('gap', series.gapSlotSeconds)),
    },
    {
      title: 'Busy part of the slots while work waits',
      svg: renderSvg(lineChart('utilisation', series.utilisation)),
    },
    {
      title: 'Control bytes per node and second',
      svg: renderSvg(bytesChart(series)),
    },
  ];
}
