/** Renders the charts of a run as SVG. */
import { init } from 'echarts';
import type { EChartsOption } from 'echarts';
import type { RunSeries } from '../run/index.js';

const WIDTH_PX = 900;
const HEIGHT_PX = 320;

/** Chart title and SVG markup. */
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

function secondIndexes(values: readonly unknown[]): number[] {
  return values.map((_, second) => second);
}

function lineChart(name: string, values: readonly (number | null)[]): EChartsOption {
  return {
    xAxis: { type: 'category', data: secondIndexes(values), name: 's' },
    yAxis: { type: 'value' },
    series: [{ name, type: 'line', showSymbol: false, data: [...values] }],
  };
}

function serviceChart({ servicePerAccount }: RunSeries): EChartsOption {
  return {
    legend: { bottom: 0, type: 'scroll' },
    xAxis: {
      type: 'category',
      data: secondIndexes(servicePerAccount[0]?.slotSeconds ?? []),
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

/** Renders all charts of a run. */
export function renderCharts(series: RunSeries): Chart[] {
  return [
    { title: 'Slot seconds used per account in each second', svg: renderSvg(serviceChart(series)) },
    {
      title: 'Fairness gap over the preceding 5 seconds, in slot seconds',
      svg: renderSvg(lineChart('gap', series.gapSlotSeconds)),
    },
    {
      title: 'Fraction of slots in use while requests wait',
      svg: renderSvg(lineChart('utilisation', series.utilisation)),
    },
    {
      title: 'Control bytes per node per second',
      svg: renderSvg(bytesChart(series)),
    },
  ];
}
