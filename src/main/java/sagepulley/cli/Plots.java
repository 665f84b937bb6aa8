package sagepulley.cli;

import java.awt.Color;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Date;
import java.util.List;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.style.Styler;
import sagepulley.accounts.LatencyAccount;

/** Renders plots as images embedded in an HTML page. */
final class Plots {
    private Plots() {}

    /** Returns a Base64-encoded PNG of a volume's waiting and work, in seconds per second. */
    @SuppressWarnings("JavaUtilDate") // XChart requires Date on a time axis
    static String latencyOverTime(List<LatencyAccount.Point> points) throws IOException {
        System.setProperty("java.awt.headless", "true");
        XYChart chart =
                new XYChartBuilder().width(760).height(260).yAxisTitle("seconds a second").build();
        chart.getStyler()
                .setDefaultSeriesRenderStyle(XYSeries.XYSeriesRenderStyle.Line)
                .setLegendPosition(Styler.LegendPosition.InsideNE)
                .setChartBackgroundColor(Color.WHITE);
        List<Date> times = new ArrayList<>();
        List<Double> waited = new ArrayList<>();
        List<Double> worked = new ArrayList<>();
        for (LatencyAccount.Point point : points) {
            times.add(new Date((long) point.wallMillis()));
            waited.add(point.waited() / point.length());
            worked.add(point.work() / point.length());
        }
        chart.addSeries("waiting", times, waited)
                .setMarker(org.knowm.xchart.style.markers.SeriesMarkers.NONE);
        chart.addSeries("work", times, worked)
                .setMarker(org.knowm.xchart.style.markers.SeriesMarkers.NONE);
        return Base64.getEncoder()
                .encodeToString(
                        BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG));
    }
}
